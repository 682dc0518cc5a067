package org.poplarwharf.internal.holder;

import static org.assertj.core.api.Assertions.assertThat;
import static org.poplarwharf.support.Eventually.eventually;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.poplarwharf.support.ScriptedTarget;

/** Guards against requests that a draining node begins although it ends before they do. */
@Timeout(60)
class DrainNextRequestGatewayTest {
    private static final int READ_TIMEOUT_MILLIS = 5_000;

    /** A grace period is 1 s long; requests in flight are ended after 600 ms of it. */
    private static final long FIRST_STREAM_DRAIN_MILLIS = 450;

    private static final int LONG_STREAM_MILLIS = 2_000;

    private static final long SOON_MILLIS = 300;

    private GatewayCluster cluster;
    private GatewayCluster.Node node;
    private ScriptedTarget target;
    private final CountDownLatch firstStreamMayEnd = new CountDownLatch(1);

    @BeforeEach
    void start() throws IOException {
        cluster = new GatewayCluster();
        node = cluster.startNode();
        target = cluster.addTarget("desk", "");
        target.script = this::respond;
    }

    @AfterEach
    void stop() throws Exception {
        cluster.close();
    }

    private void respond(ScriptedTarget.Request request, java.io.OutputStream out)
            throws IOException, InterruptedException {
        if (request.line().contains("/once/")) {
            ScriptedTarget.writeResponse(out, request, "200 OK", "whole");
            return;
        }
        ScriptedTarget.writeStreamHead(out, request);
        writeEvent(out, 1);
        if (request.id().equals("first")) {
            firstStreamMayEnd.await();
        } else if (request.closedByPeerWithin(LONG_STREAM_MILLIS)) {
            throw new IOException("the node has cut the stream");
        }
        writeEvent(out, 2);
        ScriptedTarget.write(out, "0\r\n\r\n");
    }

    private static void writeEvent(java.io.OutputStream out, int number) throws IOException {
        String event = "id: " + number + "\ndata: x\n\n";
        ScriptedTarget.write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
    }

    @Test
    void stream_requested_at_once_after_another_one_is_not_begun_and_cut_by_the_end_of_a_drain() throws Exception {
        try (Socket caller = connect()) {
            endFirstStreamInDrain(caller);
            send(caller, request("/stream/", "second"));

            assertRefused(readAll(caller));
        }
    }

    @Test
    void stream_requested_behind_another_one_is_not_begun_and_cut_by_the_end_of_a_drain() throws Exception {
        try (Socket caller = connect()) {
            send(caller, request("/stream/", "first"));
            readUntil(caller, "id: 1\ndata: x\n\n");
            send(caller, request("/stream/", "second"));
            Thread drain = drain();
            GatewayCluster.pause(FIRST_STREAM_DRAIN_MILLIS);
            firstStreamMayEnd.countDown();
            readUntil(caller, "0\r\n\r\n");

            assertRefused(readAll(caller));
            drain.join();
        }
    }

    @Test
    void stream_that_waits_for_a_target_when_a_drain_begins_is_refused_at_once() throws Exception {
        cluster.addTarget("lm", ",'models':[],'atHand':{'inMemory':['m1'],'onDisk':['m1']}");
        try (Socket caller = connect()) {
            send(caller, request("/lm/", "waiting").replace("\r\n\r\n", "\r\nX-Model: m1\r\n\r\n"));
            eventually("its model is being loaded", () -> node.log().contains("order-answered"));
            long startMillis = System.nanoTime() / 1_000_000;
            drain();

            assertRefused(readAll(caller));
            assertThat(System.nanoTime() / 1_000_000 - startMillis).isLessThan(SOON_MILLIS);
        }
    }

    @Test
    void short_request_at_once_after_a_stream_is_still_served_in_a_drain() throws Exception {
        try (Socket caller = connect()) {
            for (int i = 0; i < 3; i++) {
                send(caller, request("/once/", "before" + i));
                readUntil(caller, "whole");
            }
            endFirstStreamInDrain(caller);
            send(caller, request("/once/", "short"));

            assertThat(readAll(caller))
                    .as(node.log())
                    .startsWith("HTTP/1.1 200")
                    .endsWith("whole");
        }
    }

    /** Reads a stream whose head doesn't announce the close, and that ends in a drain. */
    private void endFirstStreamInDrain(Socket caller) throws IOException {
        send(caller, request("/stream/", "first"));
        readUntil(caller, "id: 1\ndata: x\n\n");
        drain();
        GatewayCluster.pause(FIRST_STREAM_DRAIN_MILLIS);
        firstStreamMayEnd.countDown();
        readUntil(caller, "0\r\n\r\n");
    }

    private Thread drain() {
        Thread drain = Thread.startVirtualThread(() -> node.gateway().drainAndStop());
        eventually("the node drains", () -> node.log().contains("node-draining"));
        return drain;
    }

    private void assertRefused(String response) {
        assertThat(response).as(node.log()).startsWith("HTTP/1.1 503").contains("shutting-down");
        assertThat(response.toLowerCase(Locale.ROOT)).contains("connection: close");
        assertThat(target.executedRequestIds).doesNotContain("second");
    }

    private Socket connect() throws IOException {
        Socket caller = new Socket("127.0.0.1", node.frontPort());
        caller.setSoTimeout(READ_TIMEOUT_MILLIS);
        return caller;
    }

    private static String request(String path, String id) {
        return "POST " + path + "x HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: " + id
                + "\r\nContent-Length: 0\r\n\r\n";
    }

    private static void send(Socket caller, String request) throws IOException {
        ScriptedTarget.write(caller.getOutputStream(), request);
    }

    private static void readUntil(Socket caller, String end) throws IOException {
        StringBuilder read = new StringBuilder();
        while (!read.toString().endsWith(end)) {
            int next = caller.getInputStream().read();
            assertThat(next).as("next byte after " + read).isNotNegative();
            read.append((char) next);
        }
    }

    private static String readAll(Socket caller) throws IOException {
        return new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }
}
