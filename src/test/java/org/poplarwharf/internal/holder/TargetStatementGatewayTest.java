package org.poplarwharf.internal.holder;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.poplarwharf.support.ScriptedTarget;

/** Targets state in their responses that they leave, or that they take no requests from the node for a while. */
@Timeout(60)
class TargetStatementGatewayTest {
    private static final int NODE_COUNT = 3;
    private static final int REQUEST_COUNT = 12;
    private static final long ENTRY_READ_MILLIS = 1_000;
    private static final long PAUSE_MILLIS = 2_000;
    private static final long REPORT_MILLIS = 200;
    private static final String LEAVING = "200 OK\r\nServer-Leaving: 1";
    private static final String REPORT =
            "{\"stage\":\"both\",\"models\":[{\"name\":\"m1\",\"version\":1,\"adapters\":[]}],"
                    + "\"busy\":false,\"seq\":0,\"waiting\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":100000,\"handles\":0}";
    private static final String PAUSING = "503 Service Unavailable\r\nX-Not-Executed: 1\r\nRetry-After: 2";

    private GatewayCluster cluster;
    private final AtomicReference<ScriptedTarget> stating = new AtomicReference<>();

    /** The ways by which a node reaches a target. */
    private enum Path {
        PLAIN("desk", "/once/x", ""),
        RETRYABLE("desk", "/safe/x", ""),
        ENGINE("lm", "/lm/x", ",'models':[{'name':'m1','version':1,'adapters':[]}],'atHand':{}");

        private final String service;
        private final String path;
        private final String fields;

        Path(String service, String path, String fields) {
            this.service = service;
            this.path = path;
            this.fields = fields;
        }
    }

    private void start(Path path, int targetCount) throws IOException {
        cluster = new GatewayCluster();
        for (int i = 0; i < NODE_COUNT; i++) {
            cluster.startNode();
        }
        for (int i = 0; i < targetCount; i++) {
            ScriptedTarget target = cluster.addTarget(path.service, path.fields + ",'born':1");
            target.controlScript = (request, out) -> ScriptedTarget.writeResponse(out, request, "200 OK", REPORT);
        }
    }

    /** Makes the target that gets the first request answer all its requests with a status and headers. */
    private void makeFirstTargetState(String statusAndHeaders, String body) {
        for (ScriptedTarget target : cluster.targets) {
            target.script = (request, out) -> {
                if (stating.compareAndSet(null, target) || stating.get() == target) {
                    ScriptedTarget.writeResponse(out, request, statusAndHeaders, body);
                } else {
                    ScriptedTarget.writeResponse(out, request, "200 OK", "whole");
                }
            };
        }
    }

    @AfterEach
    void stop() throws IOException {
        cluster.close();
    }

    private HttpResponse<String> send(int node, Path path) throws IOException, InterruptedException {
        return cluster.send(GatewayCluster.request(cluster.nodes.get(node).frontPort(), path.path)
                .header("X-Model", "m1")
                .header("X-Token-Counts", "10,10")
                .POST(HttpRequest.BodyPublishers.ofString("body")));
    }

    private void sendToAll(Path path) throws IOException, InterruptedException {
        for (int i = 0; i < REQUEST_COUNT; i++) {
            assertThat(send(i % NODE_COUNT, path).statusCode()).isEqualTo(200);
        }
    }

    @ParameterizedTest
    @EnumSource(Path.class)
    void target_that_states_that_it_leaves_gets_no_more_requests_although_its_entry_says_otherwise(Path path)
            throws Exception {
        start(path, 2);
        makeFirstTargetState(LEAVING, "whole");
        for (int node = 0; node < NODE_COUNT; node++) {
            assertThat(send(node, path).statusCode()).isEqualTo(200);
        }
        ScriptedTarget leaving = stating.get();
        leaving.executedRequestIds.clear();
        sendToAll(path);
        cluster.platform.put(
                "servers", leaving.id, leaving.topicEntry(path.service, path.fields + ",'born':1,'seq':9"));
        GatewayCluster.pause(ENTRY_READ_MILLIS);
        sendToAll(path);

        assertThat(leaving.executedRequestIds).isEmpty();
    }

    @Test
    void holder_grants_no_node_an_engine_that_has_told_one_node_that_it_leaves() throws Exception {
        start(Path.ENGINE, 2);
        makeFirstTargetState(LEAVING, "whole");
        assertThat(send(0, Path.ENGINE).statusCode()).isEqualTo(200);
        GatewayCluster.pause(REPORT_MILLIS);
        sendToAll(Path.ENGINE);

        assertThat(stating.get().executedRequestIds).hasSize(1);
    }

    @Test
    void new_incarnation_of_a_target_that_left_gets_requests() throws Exception {
        start(Path.PLAIN, 1);
        makeFirstTargetState(LEAVING, "whole");
        assertThat(send(0, Path.PLAIN).statusCode()).isEqualTo(200);
        assertThat(send(0, Path.PLAIN).statusCode()).isEqualTo(503);
        cluster.platform.put("servers", stating.get().id, stating.get().topicEntry("desk", ",'born':2"));
        GatewayCluster.pause(ENTRY_READ_MILLIS);

        assertThat(send(0, Path.PLAIN).statusCode()).isEqualTo(200);
    }

    @ParameterizedTest
    @EnumSource(Path.class)
    void target_that_asks_for_a_pause_gets_no_request_from_that_node_until_it_ends(Path path) throws Exception {
        start(path, 2);
        makeFirstTargetState(PAUSING, "");
        send(0, path);
        int countBefore = stating.get().executedRequestIds.size();
        long endMillis = System.currentTimeMillis() + PAUSE_MILLIS * 3 / 4;
        while (System.currentTimeMillis() < endMillis) {
            assertThat(send(0, path).statusCode()).isEqualTo(200);
        }

        assertThat(stating.get().executedRequestIds).hasSize(countBefore);
    }

    @ParameterizedTest
    @EnumSource(Path.class)
    void request_is_refused_at_once_with_the_end_of_the_pause_while_all_targets_pause(Path path) throws Exception {
        start(path, 1);
        makeFirstTargetState(PAUSING, "");
        send(0, path);
        ScriptedTarget pausing = stating.get();
        int countBefore = pausing.executedRequestIds.size();
        long startMillis = System.currentTimeMillis();
        HttpResponse<String> response = send(0, path);

        assertThat(System.currentTimeMillis() - startMillis).isLessThan(200);
        assertThat(response.statusCode()).isEqualTo(503);
        assertThat(Double.parseDouble(
                        response.headers().firstValue("Retry-After").orElseThrow()))
                .isBetween(1.0, 2.5);
        assertThat(pausing.executedRequestIds).hasSize(countBefore);

        pausing.script = (request, out) -> ScriptedTarget.writeResponse(out, request, "200 OK", "whole");
        GatewayCluster.pause(PAUSE_MILLIS);
        assertThat(send(0, path).statusCode()).isEqualTo(200);
    }
}
