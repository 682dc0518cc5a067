package org.poplarwharf.internal.holder;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.poplarwharf.support.Eventually;
import org.poplarwharf.support.ScriptedTarget;

/** Requests that are in flight when the grace period of a stopping node is nearly over. */
@Timeout(60)
class DrainEndGatewayTest {
    private static final int SILENT_MILLIS = 5_000;

    /** The stall begins before the time at which requests are ended, 600 ms after the start of a drain, and lasts until after the last poll. */
    private static final long BEFORE_STALL_MILLIS = 540;

    private static final long STALL_MILLIS = 310;

    private static final int READ_TIMEOUT_MILLIS = 200;

    private GatewayCluster cluster;
    private GatewayCluster.Node node;
    private ScriptedTarget target;

    @BeforeEach
    void start() throws IOException {
        cluster = new GatewayCluster();
        node = cluster.startNode();
        target = cluster.addTarget("desk", "");
        target.script = (request, out) -> request.closedByPeerWithin(SILENT_MILLIS);
    }

    @AfterEach
    void stop() throws Exception {
        cluster.close();
    }

    @Test
    void request_that_runs_at_the_end_of_the_grace_period_is_not_left_without_a_response() throws Exception {
        String response = sendAndDrain(request("r1"));

        assertThat(response).startsWith("HTTP/1.1 502").contains("outcome-unknown");
        assertThat(response.toLowerCase(java.util.Locale.ROOT)).contains("connection: close");
    }

    @Test
    void request_that_waits_behind_another_one_at_the_end_of_the_grace_period_is_refused() throws Exception {
        String response = sendAndDrain(request("r1") + request("r2"));

        assertThat(response).contains("HTTP/1.1 502").contains("HTTP/1.1 503").contains("shutting-down");
        assertThat(target.executedRequestIds).containsExactly("r1");
    }

    @Test
    void request_that_runs_while_the_event_loop_is_behind_at_the_end_is_not_left_without_a_response() throws Exception {
        Thread staller = Thread.startVirtualThread(() -> {
            Eventually.eventually("the node drains", () -> node.log().contains("node-draining"));
            GatewayCluster.pause(BEFORE_STALL_MILLIS);
            Runnable thaw = GatewayCluster.freeze(node);
            GatewayCluster.pause(STALL_MILLIS);
            thaw.run();
        });

        String response = sendAndDrain(request("r1"));

        staller.join();
        assertThat(response).as(node.log()).startsWith("HTTP/1.1 502");
    }

    private static String request(String id) {
        return "POST /once/x HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: " + id + "\r\nContent-Length: 0\r\n\r\n";
    }

    /** Sends requests, stops the node once the first one runs, and returns what the caller has got by then. */
    private String sendAndDrain(String requests) throws Exception {
        try (Socket caller = new Socket("127.0.0.1", node.frontPort())) {
            caller.setSoTimeout(READ_TIMEOUT_MILLIS);
            ScriptedTarget.write(caller.getOutputStream(), requests);
            Eventually.eventually("the first request runs", () -> target.executedRequestIds.contains("r1"));
            node.gateway().drainAndStop();
            return readAll(caller);
        }
    }

    private static String readAll(Socket caller) throws IOException {
        ByteArrayOutputStream response = new ByteArrayOutputStream();
        try {
            caller.getInputStream().transferTo(response);
        } catch (SocketTimeoutException e) {
            // The node leaves the connection open.
        }
        return response.toString(StandardCharsets.ISO_8859_1);
    }
}
