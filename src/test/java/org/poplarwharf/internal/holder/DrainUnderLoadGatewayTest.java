package org.poplarwharf.internal.holder;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.poplarwharf.support.ScriptedTarget;

/** Stops a node in order while callers open connections and send requests. */
@Timeout(60)
class DrainUnderLoadGatewayTest {
    private static final int CALLER_COUNT = 24;
    private static final long PROCESSING_MILLIS = 30;
    private static final long LOAD_MILLIS = 1_000;

    private final Queue<String> lost = new ConcurrentLinkedQueue<>();
    private final AtomicInteger answeredCount = new AtomicInteger();
    private volatile boolean stopping;

    @Test
    void request_that_reaches_a_stopping_node_is_answered_or_not_read() throws Exception {
        try (GatewayCluster cluster = new GatewayCluster()) {
            GatewayCluster.Node node = cluster.startNode();
            ScriptedTarget target = cluster.addTarget("desk", "");
            target.script = (request, out) -> {
                Thread.sleep(PROCESSING_MILLIS);
                ScriptedTarget.writeResponse(out, request, "200 OK", "whole");
            };
            List<Thread> callers = new ArrayList<>();
            for (int i = 0; i < CALLER_COUNT; i++) {
                boolean keepsConnections = i % 2 == 0;
                String name = "c" + i;
                callers.add(Thread.startVirtualThread(() -> sendRequests(node.frontPort(), name, keepsConnections)));
            }
            Thread.sleep(LOAD_MILLIS);
            node.gateway().drainAndStop();
            stopping = true;
            for (Thread caller : callers) {
                caller.join();
            }

            // A connection may end without an answer only if the request has not reached a target.
            assertThat(lost).noneMatch(target.executedRequestIds::contains);
            assertThat(answeredCount).hasValueGreaterThan(CALLER_COUNT);
        }
    }

    private void sendRequests(int port, String caller, boolean keepsConnection) {
        for (int number = 0; !stopping; ) {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.setSoTimeout(5_000);
                do {
                    number++;
                } while (sendRequest(socket, caller + "-" + number) && keepsConnection && !stopping);
            } catch (IOException e) {
                return; // The node accepts no more connections.
            }
        }
    }

    /** Sends a request and returns whether its response is complete and lets the connection be used again. */
    private boolean sendRequest(Socket socket, String id) {
        StringBuilder response = new StringBuilder();
        try {
            ScriptedTarget.write(
                    socket.getOutputStream(),
                    "POST /once/x HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: " + id
                            + "\r\nContent-Length: 0\r\n\r\n");
            byte[] bytes = new byte[4_096];
            while (!response.toString().endsWith("whole")) {
                int count = socket.getInputStream().read(bytes);
                if (count < 0) {
                    break;
                }
                response.append(new String(bytes, 0, count, StandardCharsets.ISO_8859_1));
            }
        } catch (IOException e) {
            response.append(e);
        }
        if (response.toString().endsWith("whole")) {
            answeredCount.incrementAndGet();
            return !response.toString().toLowerCase(java.util.Locale.ROOT).contains("connection: close");
        }
        if (!response.toString().startsWith("HTTP/1.1 503")) {
            lost.add(id);
        }
        return false;
    }
}
