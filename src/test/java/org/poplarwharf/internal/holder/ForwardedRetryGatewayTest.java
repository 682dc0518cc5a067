package org.poplarwharf.internal.holder;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.poplarwharf.support.CuttableLinks;
import org.poplarwharf.support.Eventually;
import org.poplarwharf.support.ScriptedTarget;

/** Requests that may be repeated, which a node without targets sends to other nodes: their route limits the targets of all. */
@Timeout(60)
class ForwardedRetryGatewayTest {
    private static final int TARGET_COUNT = 6;
    private static final int REQUEST_COUNT = 12;

    /** That of the routes "safe" and "resume". */
    private static final int MAX_TARGETS = 2;

    private final CuttableLinks links = new CuttableLinks();
    private final Map<String, Set<String>> targetsByRequest = new ConcurrentHashMap<>();
    private volatile boolean failing;
    private GatewayCluster cluster;
    private GatewayCluster.Node cutOff;
    private GatewayCluster.Node other;

    @BeforeEach
    void start() throws IOException {
        cluster = new GatewayCluster();
        cutOff = cluster.startNode(links);
        other = cluster.startNode();
        cluster.startNode();
    }

    @AfterEach
    void stop() throws IOException {
        cluster.close();
        links.close();
    }

    @Test
    void failed_safe_request_runs_at_no_more_targets_over_two_nodes_than_its_route_allows() throws Exception {
        assertLimitKept("/safe/x");
    }

    @Test
    void broken_stream_runs_at_no_more_targets_over_two_nodes_than_its_route_allows() throws Exception {
        assertLimitKept("/resume/x");
    }

    @Test
    void final_refusal_of_a_node_to_a_safe_request_is_not_taken_for_its_failure() throws Exception {
        for (int i = 0; i < 2; i++) {
            ScriptedTarget target = cluster.addTarget("desk", "");
            target.script = (request, out) -> {
                if (failing) {
                    ScriptedTarget.writeNotExecuted(out, request, "503 Service Unavailable");
                } else {
                    ScriptedTarget.writeResponse(out, request, "200 OK", "whole");
                }
            };
        }
        awaitForwarding();
        failing = true;

        HttpRequest.Builder request = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + cutOff.frontPort() + "/safe/x"))
                .header("X-Request-Id", "refused");
        int status = cluster.send(request).statusCode();

        assertThat(status).as(cluster.logs()).isEqualTo(503);
        assertThat(cutOff.log().lines().filter(line -> line.contains("request-sent") && line.contains("\"refused\"")))
                .as(cluster.logs())
                .hasSize(1);
    }

    private void awaitForwarding() throws Exception {
        links.set(CuttableLinks.Cut.RESET);
        Eventually.eventually(
                "requests are forwarded",
                () -> cluster.status(cutOff.frontPort(), "/safe/x") == 200
                        && cutOff.log().contains("targets-unreachable"));
    }

    private void assertLimitKept(String path) throws Exception {
        for (int i = 0; i < TARGET_COUNT; i++) {
            ScriptedTarget target = cluster.addTarget("desk", "");
            target.script = (request, out) -> {
                targetsByRequest
                        .computeIfAbsent(request.id(), id -> ConcurrentHashMap.newKeySet())
                        .add(target.id);
                if (failing && request.line().contains("/resume/")) {
                    request.resetConnection();
                    return;
                }
                ScriptedTarget.writeResponse(
                        out, request, failing ? "500 Internal Server Error" : "200 OK", failing ? "" : "whole");
            };
        }
        awaitForwarding();
        failing = true;
        // The other two nodes must differ in what they know of the targets.
        cluster.get(other.frontPort(), path);
        targetsByRequest.clear();
        List<Integer> statuses = new ArrayList<>();
        for (int i = 0; i < REQUEST_COUNT; i++) {
            HttpRequest.Builder request = HttpRequest.newBuilder(
                            URI.create("http://127.0.0.1:" + cutOff.frontPort() + path))
                    .header("X-Request-Id", "r" + i);
            statuses.add(cluster.send(request).statusCode());
        }
        assertThat(targetsByRequest.values())
                .as("%s%s", statuses, cluster.logs())
                .isNotEmpty()
                .allSatisfy(targets -> assertThat(targets).hasSizeLessThanOrEqualTo(MAX_TARGETS));
    }
}
