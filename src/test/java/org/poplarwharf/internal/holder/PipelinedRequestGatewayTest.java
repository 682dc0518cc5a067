package org.poplarwharf.internal.holder;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.poplarwharf.support.Eventually;
import org.poplarwharf.support.ScriptedTarget;

/** Requests that a caller sends while the response to another one on the same connection is under way. */
@Timeout(30)
class PipelinedRequestGatewayTest {
    private static final String WHOLE_STREAM = ScriptedTarget.eventText(1) + ScriptedTarget.eventText(2);

    /** Over the default limit of a plan, and under that of the decoder. */
    private static final String LARGE_HEADER = "X-Large: " + "x".repeat(80_000) + "\r\n";

    /** Three such requests and a fourth one are enough to make a node stop reading from their connection. */
    private static final String LARGE_BODY = "x".repeat(100_000);

    private static final String OVERSIZED_BODY = "Content-Length: 9000000\r\n\r\n";
    private static final String UNREADABLE_REQUEST = "no request at all\r\n\r\n";

    private final CountDownLatch streamMayEnd = new CountDownLatch(1);
    private GatewayCluster cluster;
    private GatewayCluster.Node node;
    private ScriptedTarget target;
    private RawCaller caller;

    @BeforeEach
    void start() throws IOException {
        cluster = new GatewayCluster();
        node = cluster.startNode();
        target = cluster.addTarget("desk", "");
        target.script = this::respond;
        caller = new RawCaller(node.frontPort());
    }

    @AfterEach
    void stop() throws IOException {
        caller.close();
        cluster.close();
    }

    /** Holds a stream after its first event, and responds to other requests with their id. */
    private void respond(ScriptedTarget.Request request, OutputStream out) throws IOException, InterruptedException {
        if (!request.line().contains("/stream/")) {
            ScriptedTarget.writeResponse(out, request, "200 OK", request.line().startsWith("HEAD") ? "" : request.id());
            return;
        }
        ScriptedTarget.writeStreamHead(out, request);
        ScriptedTarget.writeEvent(out, 1);
        streamMayEnd.await();
        ScriptedTarget.writeEvent(out, 2);
        ScriptedTarget.write(out, "0\r\n\r\n");
    }

    private void startStream() throws IOException {
        caller.send(RawCaller.post("/stream/x", "stream", ""));
        caller.awaitBytes();
    }

    /** Lets the stream end once the node has logged a line with these parts. */
    private void endStreamAfter(String... parts) {
        awaitLog(parts);
        streamMayEnd.countDown();
    }

    private void awaitLog(String... parts) {
        Eventually.eventually(
                "logged: " + String.join(" ", parts),
                () -> node.log().lines().anyMatch(line -> Stream.of(parts).allMatch(line::contains)));
    }

    private void assertStreamIsWhole() throws IOException {
        RawCaller.Response stream = caller.readResponse();
        assertThat(stream.status()).isEqualTo(200);
        assertThat(stream.body()).isEqualTo(WHOLE_STREAM);
    }

    private void assertAnswered(String id) throws IOException {
        assertAnswered(id, false);
    }

    private void assertAnswered(String id, boolean announcesClose) throws IOException {
        RawCaller.Response response = caller.readResponse();
        assertThat(response.status()).isEqualTo(200);
        assertThat(response.body()).isEqualTo(id);
        assertThat(response.announcesClose()).isEqualTo(announcesClose);
    }

    private void assertRefusedAndClosed(int status) throws IOException {
        RawCaller.Response refusal = caller.readResponse();
        assertThat(refusal.status()).isEqualTo(status);
        assertThat(refusal.announcesClose()).isTrue();
        assertThat(caller.isClosedByNode()).isTrue();
    }

    @Test
    void request_with_large_headers_behind_a_stream_is_refused_and_the_connection_closes() throws Exception {
        startStream();
        caller.send(RawCaller.post("/once/x", "large", LARGE_HEADER));
        caller.send(RawCaller.post("/once/x", "third", ""));
        endStreamAfter("headers over the limit");

        assertStreamIsWhole();
        assertRefusedAndClosed(431);
        assertThat(target.executedRequestIds).containsExactly("stream");
    }

    private void assertWholeRequestsAreAnsweredBeforeRefusal(String invalidRequest, int status) throws IOException {
        startStream();
        caller.send(RawCaller.post("/once/x", "second", "") + RawCaller.post("/once/x", "third", ""));
        caller.send(invalidRequest);
        endStreamAfter("\"request-refused\"");

        assertStreamIsWhole();
        assertAnswered("second");
        assertAnswered("third");
        assertRefusedAndClosed(status);
    }

    @Test
    void whole_requests_are_answered_before_one_with_large_headers_is_refused() throws Exception {
        assertWholeRequestsAreAnsweredBeforeRefusal(RawCaller.post("/once/x", "large", LARGE_HEADER), 431);
    }

    @Test
    void whole_requests_are_answered_before_one_with_a_large_body_is_refused() throws Exception {
        assertWholeRequestsAreAnsweredBeforeRefusal(
                "POST /once/x HTTP/1.1\r\nHost: 127.0.0.1\r\n" + OVERSIZED_BODY, 413);
    }

    @Test
    void whole_requests_are_answered_before_unreadable_bytes_are_refused() throws Exception {
        assertWholeRequestsAreAnsweredBeforeRefusal(UNREADABLE_REQUEST, 400);
    }

    @Test
    void whole_requests_are_answered_before_one_that_is_not_sent_in_time_is_refused() throws Exception {
        changePlan(2, "'limits':{'headerTimeoutMs':200}");

        assertWholeRequestsAreAnsweredBeforeRefusal(
                "POST /once/x HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 10\r\n\r\nhalf", 408);
    }

    /** Puts a plan with other limits in force. */
    private void changePlan(int version, String limits) {
        cluster.platform.put("op", "config", GatewayCluster.plan(version, limits));
        awaitLog("\"plan-in-force\"", "\"version\":" + version);
    }

    @Test
    void requests_that_wait_when_a_drain_starts_are_answered_and_only_the_last_response_announces_the_close()
            throws Exception {
        startStream();
        caller.send(RawCaller.post("/once/x", "second", "") + RawCaller.post("/once/x", "third", ""));
        GatewayCluster.pause(100);
        Thread drain = Thread.startVirtualThread(() -> node.gateway().drainAndStop());
        endStreamAfter("\"node-draining\"");

        assertStreamIsWhole();
        assertAnswered("second");
        assertAnswered("third", true);
        assertThat(caller.isClosedByNode()).isTrue();
        drain.join();
    }

    @Test
    void request_that_arrives_during_a_drain_behind_one_under_way_is_answered() throws Exception {
        startStream();
        Thread drain = Thread.startVirtualThread(() -> node.gateway().drainAndStop());
        awaitLog("\"node-draining\"");
        caller.send(RawCaller.post("/once/x", "second", ""));
        GatewayCluster.pause(100);
        streamMayEnd.countDown();

        assertStreamIsWhole();
        assertAnswered("second", true);
        assertThat(caller.isClosedByNode()).isTrue();
        drain.join();
    }

    @Test
    void requests_behind_one_that_asks_to_close_the_connection_are_dropped_and_logged() throws Exception {
        startStream();
        caller.send(RawCaller.post("/once/x", "second", "Connection: close\r\n"));
        caller.send(RawCaller.post("/once/x", "third", ""));
        GatewayCluster.pause(100);
        streamMayEnd.countDown();

        assertStreamIsWhole();
        assertAnswered("second", true);
        assertThat(caller.isClosedByNode()).isTrue();
        assertThat(target.executedRequestIds).containsExactly("stream", "second");
        awaitLog("\"request-dropped\"", "\"requestId\":\"third\"");
    }

    @Test
    void body_limit_that_was_in_force_when_the_head_was_read_holds_for_the_body() throws Exception {
        caller.send(RawCaller.postWithBody("/once/x", "first", "") + "one ");
        GatewayCluster.pause(100);
        changePlan(2, "'limits':{'maxBodyBytes':4}");
        caller.send("two");

        assertAnswered("first");
        caller.send(RawCaller.postWithBody("/once/x", "second", ""));
        assertRefusedAndClosed(413);
    }

    @Test
    void caller_behind_a_stream_is_told_to_continue_after_the_stream() throws Exception {
        startStream();
        caller.send(RawCaller.postWithBody("/once/x", "second", "Expect: 100-continue\r\n"));
        GatewayCluster.pause(100);
        streamMayEnd.countDown();

        assertStreamIsWhole();
        assertThat(caller.readResponse().status()).isEqualTo(100);
        caller.send("one two");
        assertAnswered("second");
    }

    @Test
    void caller_that_waits_to_continue_behind_a_stream_is_not_refused_for_being_late() throws Exception {
        changePlan(2, "'limits':{'headerTimeoutMs':1000}");
        startStream();
        caller.send(RawCaller.postWithBody("/once/x", "second", "Expect: 100-continue\r\n"));
        GatewayCluster.pause(1_300);
        streamMayEnd.countDown();

        assertStreamIsWhole();
        assertThat(caller.readResponse().status()).isEqualTo(100);
        caller.send("one two");
        assertAnswered("second");
    }

    private static String largeRequest(String id) {
        return RawCaller.post("/once/x", id, "").replace("Length: 0", "Length: " + LARGE_BODY.length()) + LARGE_BODY;
    }

    /** Starts a stream, and sends requests behind it until the node stops reading. The last one has just begun. */
    private void stopReadingWithinRequest() throws IOException {
        changePlan(2, "'limits':{'headerTimeoutMs':500}");
        startStream();
        caller.send(largeRequest("w1") + largeRequest("w2") + largeRequest("w3"));
        GatewayCluster.pause(200);
        caller.send(RawCaller.post("/once/x", "w4", "") + RawCaller.postWithBody("/once/x", "last", "") + "one ");
        GatewayCluster.pause(100);
    }

    private void assertWaitingRequestsAreAnswered() throws IOException {
        for (int i = 1; i <= 4; i++) {
            assertAnswered("w" + i);
        }
    }

    @Test
    void time_in_which_the_node_does_not_read_is_not_the_callers() throws Exception {
        stopReadingWithinRequest();
        caller.send("two");
        GatewayCluster.pause(1_000);
        streamMayEnd.countDown();

        assertStreamIsWhole();
        assertWaitingRequestsAreAnswered();
        assertAnswered("last");
    }

    @Test
    void request_that_is_not_sent_in_time_after_the_node_reads_again_is_refused() throws Exception {
        stopReadingWithinRequest();
        streamMayEnd.countDown();

        assertStreamIsWhole();
        assertWaitingRequestsAreAnswered();
        assertRefusedAndClosed(408);
    }

    @Test
    void caller_that_closes_its_connection_with_four_requests_waiting_is_noticed() throws Exception {
        startStream();
        for (int i = 1; i <= 4; i++) {
            caller.send(RawCaller.post("/once/x", "w" + i, ""));
        }
        GatewayCluster.pause(200);
        caller.close();

        awaitLog("\"caller-left\"", "\"requestId\":\"stream\"");
        streamMayEnd.countDown();
        Eventually.eventually("the connection to the target is closed", () -> target.closedByPeerCount.get() > 0);
        assertThat(target.executedRequestIds).containsExactly("stream");
    }

    @Test
    void response_after_an_interim_one_keeps_its_body_where_a_head_request_follows() throws Exception {
        caller.send(RawCaller.postWithBody("/once/x", "first", "Expect: 100-continue\r\n"));
        assertThat(caller.readResponse().status()).isEqualTo(100);
        caller.send("one two" + RawCaller.post("/once/x", "second", "").replace("POST", "HEAD"));
        caller.send(RawCaller.post("/once/x", "third", ""));

        assertAnswered("first");
        assertThat(caller.readUntil("\r\n\r\n")).startsWith("HTTP/1.1 200 OK");
        assertAnswered("third");
    }

    @Test
    void refusal_reaches_a_caller_that_is_still_sending_its_body() throws Exception {
        caller.send("POST /once/x HTTP/1.1\r\nHost: 127.0.0.1\r\n" + OVERSIZED_BODY);
        GatewayCluster.pause(50);
        for (int i = 0; i < 10; i++) {
            caller.send("x".repeat(50_000));
        }
        assertRefusedAndClosed(413);
    }
}
