package org.poplarwharf.internal.holder;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.poplarwharf.support.ScriptedTarget;

/**
 * Targets that state in a response with a body larger than the gateway buffers that they have not run a request, which is
 * then sent to another target.
 */
@Timeout(30)
class LargeRefusalGatewayTest {
    private static final List<Integer> PROMISING_STATUSES = List.of(408, 421, 429, 503);
    private static final int BODY_BYTES = (1 << 20) + 65_536;

    private final Set<String> declined = ConcurrentHashMap.newKeySet();
    private final List<String> runs = new CopyOnWriteArrayList<>();
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

    private static void decline(OutputStream out, ScriptedTarget.Request request, String status) throws IOException {
        ScriptedTarget.write(
                out,
                "HTTP/1.1 " + status + "\r\nX-Not-Executed: 1\r\nX-Request-Id: " + request.id()
                        + "\r\nX-Response-Seal: s\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n");
        ScriptedTarget.write(out, "x".repeat(BODY_BYTES));
    }

    @ParameterizedTest
    @CsvSource({
        "/once/x, 503 Service Unavailable",
        "/once/x, 429 Too Many Requests",
        "/stream/x, 503 Service Unavailable"
    })
    void request_whose_large_refusal_has_reached_the_caller_is_not_sent_again(String path, String status)
            throws Exception {
        for (int i = 0; i < 2; i++) {
            ScriptedTarget target = cluster.addTarget("desk", "");
            target.script = (request, out) -> {
                if (declined.add(request.id())) {
                    decline(out, request, status);
                    return;
                }
                runs.add(request.id());
                ScriptedTarget.writeResponse(out, request, "200 OK", "whole");
            };
        }

        int callerStatus = statusOf(path);

        assertThat(PROMISING_STATUSES.contains(callerStatus) && !runs.isEmpty())
                .as("the caller got %d, runs %s%s", callerStatus, runs, node.log())
                .isFalse();
    }

    private int statusOf(String path) throws Exception {
        HttpResponse<String> response = cluster.post(node.frontPort(), path);
        return response.statusCode();
    }
}
