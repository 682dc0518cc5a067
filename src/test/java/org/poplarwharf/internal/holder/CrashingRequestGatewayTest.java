package org.poplarwharf.internal.holder;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.poplarwharf.support.Eventually;

/** Sends a request that crashes each target that runs it to the nodes in turn; it may take down two targets at most. */
@Timeout(60)
class CrashingRequestGatewayTest {
    private static final int MAX_CRASH_COUNT = 2;
    private static final int TARGET_COUNT = 6;
    private static final int NODE_COUNT = 3;
    private static final int REPEAT_COUNT = 12;

    private static final long REPEAT_INTERVAL_MILLIS = 200;
    private static final String CRASHING_BODY = "crashes its target";
    private static final String MODELS = ",'models':[{'name':'m1','version':1,'adapters':[]}],'atHand':{}";

    private final AtomicInteger crashCount = new AtomicInteger();
    private GatewayCluster cluster;

    private void start(String service, String extraFields) throws IOException {
        start(service, extraFields, GatewayCluster.RESTART_MILLIS);
    }

    private void start(String service, String extraFields, long restartMillis) throws IOException {
        cluster = new GatewayCluster();
        for (int i = 0; i < NODE_COUNT; i++) {
            cluster.startNode();
        }
        for (int i = 0; i < TARGET_COUNT; i++) {
            cluster.addCrashingTarget(
                    service, extraFields, request -> request.body().equals(CRASHING_BODY), crashCount, restartMillis);
        }
    }

    @AfterEach
    void stop() throws IOException {
        cluster.close();
    }

    @Test
    void request_that_crashed_two_plain_targets_is_refused_at_every_node() throws Exception {
        start("desk", "");
        HttpResponse<String> last = sendRepeatedly("/once/x");

        assertThat(crashCount).as(() -> cluster.logs()).hasValueLessThanOrEqualTo(MAX_CRASH_COUNT);
        assertThat(last.statusCode()).isEqualTo(503);
        assertThat(send(0, "/once/x", "harmless").body()).isEqualTo("whole");
    }

    @Test
    void request_that_crashed_two_engines_is_refused_at_every_node() throws Exception {
        start("lm", MODELS);
        HttpResponse<String> last = sendRepeatedly("/lm/x");

        assertThat(crashCount).as(() -> cluster.logs()).hasValueLessThanOrEqualTo(MAX_CRASH_COUNT);
        assertThat(last.statusCode()).isEqualTo(503);
        assertThat(send(0, "/lm/x", "harmless").body()).isEqualTo("whole");
    }

    @Test
    void request_is_refused_after_two_crashes_even_if_the_targets_accept_connections_again_at_once() throws Exception {
        start("desk", "", 0);
        HttpResponse<String> last = sendRepeatedly("/once/x");

        assertThat(crashCount).as(() -> cluster.logs()).hasValueLessThanOrEqualTo(MAX_CRASH_COUNT);
        assertThat(last.statusCode()).isEqualTo(503);
    }

    @Test
    void retryable_request_that_crashed_two_targets_in_one_attempt_is_refused_at_every_node() throws Exception {
        start("desk", "");
        HttpResponse<String> last = sendRepeatedly("/safe/x");

        assertThat(crashCount).as(() -> cluster.logs()).hasValueLessThanOrEqualTo(MAX_CRASH_COUNT);
        assertThat(last.statusCode()).isEqualTo(503);
    }

    @Test
    void request_that_comes_from_several_addresses_is_refused_after_two_crashes() throws Exception {
        start("desk", "");
        HttpResponse<String> last = null;
        for (int i = 0; i < REPEAT_COUNT; i++) {
            HttpClient callerAtOtherAddress = HttpClient.newBuilder()
                    .localAddress(InetAddress.getByName("127.0.0." + (2 + i)))
                    .build();
            last = callerAtOtherAddress.send(
                    request(i % NODE_COUNT, "/once/x", CRASHING_BODY).build(), HttpResponse.BodyHandlers.ofString());
            GatewayCluster.pause(REPEAT_INTERVAL_MILLIS);
        }

        assertThat(crashCount).as(() -> cluster.logs()).hasValueLessThanOrEqualTo(MAX_CRASH_COUNT);
        assertThat(last.statusCode()).isEqualTo(503);
    }

    @Test
    void nodes_that_start_later_refuse_a_request_that_crashed_two_targets_before() throws Exception {
        start("desk", "");
        sendRepeatedly("/once/x");
        cluster.nodes.forEach(node -> node.gateway().drainAndStop());
        cluster.nodes.clear();
        for (int i = 0; i < NODE_COUNT; i++) {
            GatewayCluster.Node node = cluster.startNode();
            Eventually.eventually("the node is ready", () -> cluster.status(node.readyPort(), "/ready") == 200);
        }
        HttpResponse<String> last = sendRepeatedly("/once/x");

        assertThat(crashCount).as(() -> cluster.logs()).hasValueLessThanOrEqualTo(MAX_CRASH_COUNT);
        assertThat(last.statusCode()).isEqualTo(503);
    }

    /** Sends the crashing request to the nodes in turn and returns the last response. */
    private HttpResponse<String> sendRepeatedly(String path) throws IOException, InterruptedException {
        HttpResponse<String> last = null;
        for (int i = 0; i < REPEAT_COUNT; i++) {
            last = send(i % NODE_COUNT, path, CRASHING_BODY);
            GatewayCluster.pause(REPEAT_INTERVAL_MILLIS);
        }
        return last;
    }

    private HttpResponse<String> send(int node, String path, String body) throws IOException, InterruptedException {
        return cluster.send(request(node, path, body));
    }

    private HttpRequest.Builder request(int node, String path, String body) {
        return GatewayCluster.request(cluster.nodes.get(node).frontPort(), path)
                .header("X-Model", "m1")
                .header("X-Token-Counts", "10,10")
                .POST(HttpRequest.BodyPublishers.ofString(body));
    }
}
