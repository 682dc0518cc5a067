package org.poplarwharf.internal.holder;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.poplarwharf.support.ScriptedTarget;

/**
 * Targets that refuse a request which they run nevertheless. Callers take the statuses 408, 421, 429 and 503 for a promise
 * that the request has not run and never will, so only a refusal that proves it may reach them.
 */
@Timeout(30)
class UnprovenRefusalGatewayTest {
    private static final List<Integer> PROMISING_STATUSES = List.of(408, 421, 429, 503);
    private static final int REQUEST_COUNT = 6;

    private final Set<Socket> usedConnections = ConcurrentHashMap.newKeySet();
    private final List<ScriptedTarget> targets = new ArrayList<>();
    private GatewayCluster cluster;
    private GatewayCluster.Node node;

    @BeforeEach
    void start() throws IOException {
        cluster = new GatewayCluster();
        node = cluster.startNode();
    }

    @AfterEach
    void stop() throws IOException {
        cluster.close();
    }

    @ParameterizedTest
    @CsvSource({
        "/once/x, 503 Service Unavailable",
        "/once/x, 429 Too Many Requests",
        "/once/x, 408 Request Timeout",
        "/stream/x, 503 Service Unavailable",
        "/stream/x, 429 Too Many Requests"
    })
    void request_that_ran_is_not_refused_because_its_target_failed_it_with_a_refusal_status(String path, String status)
            throws Exception {
        ScriptedTarget target = cluster.addTarget("desk", "");
        target.script = (request, out) -> ScriptedTarget.writeResponse(out, request, status, "");

        HttpResponse<String> response = cluster.post(node.frontPort(), path);

        assertThat(target.executedRequestIds).hasSize(1);
        assertThat(response.statusCode()).as(node.log()).isNotIn(PROMISING_STATUSES);
    }

    /** As if the refusal had been left in a receive buffer from before. */
    @ParameterizedTest
    @ValueSource(strings = {"503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request"})
    void refusal_without_a_request_id_on_a_reused_connection_is_not_taken_for_that_of_the_request_that_runs(
            String status) throws Exception {
        List<Integer> statuses = sendToTargetsThatRefuseBeforeTheyRespond(status, true);

        assertThat(runs()).as(node.log()).hasSize(REQUEST_COUNT).doesNotHaveDuplicates();
        assertThat(statuses)
                .as(node.log())
                .doesNotContainAnyElementsOf(PROMISING_STATUSES)
                .contains(200);
    }

    @ParameterizedTest
    @ValueSource(strings = {"503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request"})
    void refusal_without_a_request_id_is_not_taken_for_that_of_a_request_without_id_that_runs(String status)
            throws Exception {
        List<Integer> statuses = sendToTargetsThatRefuseBeforeTheyRespond(status, false);

        assertThat(runs()).as(node.log()).hasSize(REQUEST_COUNT);
        assertThat(statuses)
                .as(node.log())
                .doesNotContainAnyElementsOf(PROMISING_STATUSES)
                .contains(200);
    }

    private List<Integer> sendToTargetsThatRefuseBeforeTheyRespond(String status, boolean hasId) throws Exception {
        ScriptedTarget.Script refusesBeforeItResponds = (request, out) -> {
            if (!usedConnections.add(request.connection())) {
                ScriptedTarget.write(out, "HTTP/1.1 " + status + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            }
            ScriptedTarget.writeResponse(out, request, "200 OK", "whole");
        };
        for (int i = 0; i < 2; i++) {
            ScriptedTarget target = cluster.addTarget("desk", "");
            target.script = refusesBeforeItResponds;
            targets.add(target);
        }
        List<Integer> statuses = new ArrayList<>();
        for (int i = 0; i < REQUEST_COUNT; i++) {
            HttpRequest.Builder request = hasId
                    ? GatewayCluster.request(node.frontPort(), "/once/x")
                    : HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + node.frontPort() + "/once/x"));
            statuses.add(cluster.send(request.POST(HttpRequest.BodyPublishers.ofString("body")))
                    .statusCode());
        }
        return statuses;
    }

    private List<String> runs() {
        return targets.stream()
                .flatMap(target -> target.executedRequestIds.stream())
                .toList();
    }
}
