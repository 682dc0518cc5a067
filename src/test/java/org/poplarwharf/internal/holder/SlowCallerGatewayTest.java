package org.poplarwharf.internal.holder;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.poplarwharf.support.Eventually;
import org.poplarwharf.support.ScriptedTarget;

/** Callers that read whole responses later than the node has them. */
@Timeout(30)
class SlowCallerGatewayTest {
    /** Less than a node buffers of a response before it passes it on. */
    private static final int RESPONSE_BYTES = 1_000_000;

    private static final int MAX_RESPONSE_COUNT = 12;
    private static final int RECEIVE_BUFFER_BYTES = 4_096;
    private static final int READ_TIMEOUT_MILLIS = 3_000;
    private static final long SETTLE_MILLIS = 1_500;

    private GatewayCluster cluster;
    private GatewayCluster.Node node;

    @BeforeEach
    void start() throws IOException {
        cluster = new GatewayCluster();
        node = cluster.startNode();
        cluster.addTarget("desk", "").script =
                (request, out) -> ScriptedTarget.writeResponse(out, request, "200 OK", "x".repeat(RESPONSE_BYTES));
    }

    @AfterEach
    void stop() throws IOException {
        cluster.close();
    }

    private Socket sendRequests(String idPrefix, int count) throws IOException {
        Socket caller = new Socket();
        caller.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        caller.setSoTimeout(READ_TIMEOUT_MILLIS);
        caller.connect(new InetSocketAddress("127.0.0.1", node.frontPort()));
        for (int i = 0; i < count; i++) {
            ScriptedTarget.write(caller.getOutputStream(), RawCaller.post("/once/x", idPrefix + i, ""));
        }
        return caller;
    }

    private int answeredCount(String idPrefix) {
        return (int) node.log()
                .lines()
                .filter(line -> line.contains("\"request-answered\"") && line.contains("\"requestId\":\"" + idPrefix))
                .count();
    }

    /** Returns how many responses fill the buffers of a connection, so that a part of the last one has not been sent. */
    private int fillingResponseCount() throws IOException {
        Socket probe = sendRequests("probe", MAX_RESPONSE_COUNT);
        GatewayCluster.pause(SETTLE_MILLIS);
        int count = answeredCount("probe");
        probe.close();
        assertThat(count).isBetween(1, MAX_RESPONSE_COUNT - 1);
        return count;
    }

    private Socket sendRequestsThatFillTheConnection(int count) throws IOException {
        Socket caller = sendRequests("r", count);
        Eventually.eventually("all are answered", () -> answeredCount("r") == count);
        return caller;
    }

    private static void assertResponsesAreWhole(Socket caller, int count) throws IOException {
        long bodyBytes = 0;
        byte[] bytes = new byte[65_536];
        while (bodyBytes < (long) count * RESPONSE_BYTES) {
            int length = caller.getInputStream().read(bytes);
            if (length < 0) {
                break;
            }
            bodyBytes += new String(bytes, 0, length, StandardCharsets.ISO_8859_1)
                    .chars()
                    .filter(character -> character == 'x')
                    .count();
        }
        assertThat(bodyBytes).isGreaterThanOrEqualTo((long) count * RESPONSE_BYTES);
    }

    @Test
    void response_that_its_caller_still_reads_is_not_cut_by_the_limit_on_idle_connections() throws Exception {
        int count = fillingResponseCount();
        cluster.platform.put("op", "config", GatewayCluster.plan(2, "'limits':{'idleTimeoutMs':500}"));
        Eventually.eventually(
                "the plan is in force",
                () -> node.log()
                        .lines()
                        .anyMatch(line -> line.contains("\"plan-in-force\"") && line.contains("\"version\":2")));

        try (Socket caller = sendRequestsThatFillTheConnection(count)) {
            GatewayCluster.pause(SETTLE_MILLIS);
            assertResponsesAreWhole(caller, count);
        }
    }

    @Test
    void response_that_its_caller_still_reads_is_not_cut_by_a_drain() throws Exception {
        int count = fillingResponseCount();
        try (Socket caller = sendRequestsThatFillTheConnection(count)) {
            Thread drain = Thread.startVirtualThread(() -> node.gateway().drainAndStop());
            GatewayCluster.pause(SETTLE_MILLIS);
            assertResponsesAreWhole(caller, count);
            drain.join();
        }
    }
}
