package org.poplarwharf.internal.holder;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.poplarwharf.support.ScriptedTarget;

/**
 * Targets that decline a request and send the refusal again, late. Both sends of the request have the same id, so the copy
 * must not be taken for the response to the second send, which runs.
 */
@Timeout(30)
class LateRefusalGatewayTest {
    private static final String MODELS = ",'models':[{'name':'m1','version':1,'adapters':[]}],'atHand':{}";
    private static final String REPORT =
            "{\"seq\":0,\"busy\":false,\"models\":[{\"name\":\"m1\",\"version\":1,\"adapters\":[]}]}";
    private static final int REQUEST_COUNT = 6;

    private final Set<String> declined = ConcurrentHashMap.newKeySet();
    private final List<String> runs = new CopyOnWriteArrayList<>();
    private final Map<Socket, ScriptedTarget.Request> owedCopies = new ConcurrentHashMap<>();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
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

    private ScriptedTarget addTarget(ScriptedTarget.Script script) throws IOException {
        ScriptedTarget target = cluster.addTarget("lm", MODELS);
        target.controlScript = (request, out) -> ScriptedTarget.writeResponse(out, request, "200 OK", REPORT);
        target.script = (request, out) -> {
            connections.add(request.connection());
            script.respond(request, out);
        };
        return target;
    }

    private HttpResponse<String> post(String id) throws IOException, InterruptedException {
        return cluster.send(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + node.frontPort() + "/lm/x"))
                .header("X-Request-Id", id)
                .header("X-Model", "m1")
                .header("X-Token-Counts", "10,10")
                .POST(HttpRequest.BodyPublishers.ofString("prompt")));
    }

    private void run(ScriptedTarget.Request request, OutputStream out) throws IOException {
        runs.add(request.id());
        ScriptedTarget.writeStreamHead(out, request);
        ScriptedTarget.writeEvent(out, 1);
        ScriptedTarget.write(out, "0\r\n\r\n");
    }

    private void assertEachRequestRunsOnceAndIsAnswered() throws Exception {
        for (int i = 0; i < REQUEST_COUNT; i++) {
            HttpResponse<String> response = post("r" + i);

            assertThat(response.statusCode())
                    .as("r%d, runs %s%s", i, runs, cluster.logs())
                    .isEqualTo(200);
            assertThat(response.body()).isEqualTo(ScriptedTarget.eventText(1));
            assertThat(Collections.frequency(runs, "r" + i)).isEqualTo(1);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"503 Service Unavailable", "429 Too Many Requests"})
    void copy_of_a_refusal_is_not_taken_for_the_response_to_the_second_send(String status) throws Exception {
        addTarget((request, out) -> {
            ScriptedTarget.Request earlier = owedCopies.remove(request.connection());
            if (earlier != null) {
                ScriptedTarget.writeNotExecuted(out, earlier, status);
            }
            if (declined.add(request.id())) {
                ScriptedTarget.writeNotExecuted(out, request, status);
                owedCopies.put(request.connection(), request);
                return;
            }
            run(request, out);
        });

        assertEachRequestRunsOnceAndIsAnswered();
    }

    /** Sound targets decline as well: a cure that closed their connections would open one for each refusal. */
    @Test
    void connections_are_kept_after_a_refusal() throws Exception {
        ScriptedTarget target = addTarget((request, out) -> {
            if (declined.add(request.id())) {
                ScriptedTarget.writeNotExecuted(out, request, "503 Service Unavailable");
                return;
            }
            run(request, out);
        });

        assertEachRequestRunsOnceAndIsAnswered();
        assertThat(connections).hasSizeLessThanOrEqualTo(2);
        assertThat(target.closedByPeerCount).hasValue(0);
    }
}
