package org.poplarwharf.internal.entry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.poplarwharf.internal.target.RawHttpTarget.chunk;
import static org.poplarwharf.internal.target.RawHttpTarget.chunkedResponseHead;
import static org.poplarwharf.internal.target.RawHttpTarget.tokenEvent;
import static org.poplarwharf.support.Eventually.eventually;

import io.activej.promise.Promise;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.poplarwharf.internal.target.RawHttpTarget;

/** Guards against connections whose requests get no response, since the process ends after the drain. */
@Timeout(30)
class DrainEntryTest {
    private static final int READ_TIMEOUT_MILLIS = 3_000;

    /** Time in which a drain would do all that does not wait for a blocked thread. */
    private static final long DRAIN_STEPS_MILLIS = 500;

    private static final String INVALID_REQUEST = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

    private final EntryFixture entry = new EntryFixture(true, 2);
    private final List<Socket> callers = new ArrayList<>();
    private final CountDownLatch blocked = new CountDownLatch(1);

    @AfterEach
    void close() throws IOException {
        blocked.countDown();
        for (Socket caller : callers) {
            caller.close();
        }
        entry.close();
    }

    @Test
    void request_unread_when_its_thread_is_asked_for_requests_in_flight_is_answered_before_the_drain_ends()
            throws Exception {
        connect();
        Socket caller = connect();
        send(caller, INVALID_REQUEST);
        readResponse(caller);
        blockThread(1);
        CompletableFuture<Void> drained = entry.drain();
        send(caller, completion("{\"model\":\"llama\"}", 2_000));
        Thread.sleep(DRAIN_STEPS_MILLIS);

        blocked.countDown();
        eventually("request read", () -> entry.admission.permitRequests.size() == 1);

        assertThat(drained).failsWithin(Duration.ofMillis(300)).withThrowableOfType(TimeoutException.class);
        assertThat(readResponse(caller)).startsWith("HTTP/1.1 504 ").contains("connection: close");
        drained.join();
        assertClosed(caller);
    }

    @Test
    void request_on_a_connection_not_accepted_when_a_drain_stops_accepting_is_answered() throws Exception {
        blockThread(0);
        Socket caller = connect();
        send(caller, INVALID_REQUEST);
        CompletableFuture<Void> drained = entry.drain();
        Thread.sleep(DRAIN_STEPS_MILLIS);

        blocked.countDown();

        assertThat(readResponse(caller)).contains("connection: close");
        drained.join();
        assertClosed(caller);
    }

    @Test
    void idle_connection_does_not_stay_open_while_a_drain_waits_for_another_thread() throws Exception {
        Socket caller = connect();
        send(caller, INVALID_REQUEST);
        readResponse(caller);
        connect();
        blockThread(1);

        CompletableFuture<Void> drained = entry.drain();

        assertClosed(caller);
        assertThat(drained).isNotDone();
    }

    @Test
    void connection_between_two_requests_does_not_stay_open_after_a_drain() throws Exception {
        Socket caller = connect();
        send(caller, INVALID_REQUEST);
        readResponse(caller);

        entry.drain().join();

        assertClosed(caller);
    }

    @Test
    void connection_without_a_request_does_not_stay_open_after_a_drain() throws Exception {
        Socket caller = connect();

        entry.drain().join();

        assertClosed(caller);
    }

    @Test
    void connection_whose_stream_began_before_the_drain_does_not_stay_open_after_it() throws Exception {
        CountDownLatch finishStream = new CountDownLatch(1);
        try (RawHttpTarget target = new RawHttpTarget((n, head, out) -> {
            out.write(chunkedResponseHead());
            out.write(chunk(tokenEvent(0)));
            out.flush();
            finishStream.await();
            out.write(chunk("data: [DONE]\n\n"));
            out.write(chunk(""));
            return true;
        })) {
            entry.admission.targetAddresses.add(target.address());
            Socket caller = connect();
            send(caller, completion("{\"model\":\"llama\",\"stream\":true}", 10_000));
            assertThat(readUntil(caller, "\r\n\r\n")).doesNotContain("connection: close");

            CompletableFuture<Void> drained = entry.drain();
            assertThat(drained).failsWithin(Duration.ofMillis(300)).withThrowableOfType(TimeoutException.class);
            finishStream.countDown();

            assertThat(new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII))
                    .endsWith("0\r\n\r\n");
            drained.join();
        }
    }

    @Test
    void stream_that_may_outlast_a_drain_is_not_begun_in_it() throws Exception {
        try (RawHttpTarget target = new RawHttpTarget((n, head, out) -> {
            out.write(chunkedResponseHead());
            out.write(chunk(tokenEvent(0)));
            out.flush();
            Thread.sleep(DRAIN_STEPS_MILLIS);
            out.write(chunk("data: [DONE]\n\n"));
            out.write(chunk(""));
            return true;
        })) {
            entry.admission.targetAddresses.add(target.address());
            Socket caller = connect();
            // A drain of the fixture may take 5 s.
            beginDrain();
            send(caller, completion("{\"model\":\"llama\",\"stream\":true}", 10_000));

            assertThat(readUntil(caller, "\r\n\r\n")).startsWith("HTTP/1.1 503 ");
            assertThat(entry.admission.permitRequests).isEmpty();
        }
    }

    @Test
    void stream_that_waits_for_a_model_is_refused_when_a_drain_begins_that_it_may_outlast() throws Exception {
        Socket caller = connect();
        send(caller, completion("{\"model\":\"llama\",\"stream\":true}", 10_000));
        eventually("request waits", () -> entry.admission.permitRequests.size() == 1);

        entry.drain();

        assertThat(readResponse(caller)).startsWith("HTTP/1.1 503 ");
        eventually("permit request withdrawn", () -> entry.admission.cancelledRequestIds.size() == 1);
    }

    @Test
    void call_whose_key_may_have_run_is_not_refused_as_not_run_by_a_drain() throws Exception {
        entry.cells.callCell = Optional.of("c");
        Socket caller = connect();
        beginDrain();

        send(caller, call(10_000));

        eventually("call looked up", () -> entry.cells.lookupCount.get() > 0);
        entry.runOnControlThread(entry.role::stop);
        assertThat(readAll(caller)).contains("\"code\":\"outcome-unknown\"");
    }

    @Test
    void request_that_waits_when_the_node_stops_is_refused_as_not_run() throws Exception {
        Socket caller = connect();
        send(caller, completion("{\"model\":\"llama\"}", 10_000));
        eventually("request waits", () -> entry.admission.permitRequests.size() == 1);

        entry.runOnControlThread(entry.role::stop);

        assertThat(readAll(caller)).startsWith("HTTP/1.1 503 ").contains("\"code\":\"shutting-down\"");
    }

    @Test
    void call_without_an_outcome_when_the_node_stops_is_not_left_without_a_response() throws Exception {
        entry.cells.callCell = Optional.of("c");
        Socket caller = connect();
        send(caller, call(10_000));
        eventually("call started", () -> entry.cells.lookupCount.get() > 0);

        entry.runOnControlThread(entry.role::stop);

        assertThat(readAll(caller)).startsWith("HTTP/1.1 502 ").contains("\"code\":\"outcome-unknown\"");
    }

    @Test
    void request_that_runs_when_the_node_stops_is_not_left_without_a_response() throws Exception {
        CountDownLatch received = new CountDownLatch(1);
        try (RawHttpTarget target = new RawHttpTarget((n, head, out) -> {
            received.countDown();
            Thread.sleep(READ_TIMEOUT_MILLIS);
            return false;
        })) {
            entry.admission.targetAddresses.add(target.address());
            Socket caller = connect();
            send(caller, completion("{\"model\":\"llama\"}", 10_000));
            received.await();

            entry.runOnControlThread(entry.role::stop);

            assertThat(readAll(caller)).startsWith("HTTP/1.1 502 ").contains("\"ran\":\"unknown\"");
        }
    }

    @Test
    void stream_that_runs_when_the_node_stops_ends_with_an_error_event() throws Exception {
        try (RawHttpTarget target = new RawHttpTarget((n, head, out) -> {
            out.write(chunkedResponseHead());
            out.write(chunk(tokenEvent(0)));
            out.flush();
            Thread.sleep(READ_TIMEOUT_MILLIS);
            return false;
        })) {
            entry.admission.targetAddresses.add(target.address());
            Socket caller = connect();
            send(caller, completion("{\"model\":\"llama\",\"stream\":true}", 10_000));
            readUntil(caller, "\r\n\r\n");

            entry.runOnControlThread(entry.role::stop);

            assertThat(readAll(caller)).contains("event: error").contains("\"code\":\"stream-interrupted\"");
        }
    }

    /** Returns once the entry role drains. */
    private void beginDrain() {
        entry.drain();
        entry.runOnControlThread(Promise::complete);
    }

    private Socket connect() throws IOException {
        String address = entry.listenAddress();
        int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
        Socket caller = new Socket(InetAddress.getLoopbackAddress(), port);
        caller.setSoTimeout(READ_TIMEOUT_MILLIS);
        callers.add(caller);
        return caller;
    }

    /** Keeps a traffic thread from accepting and reading until {@code blocked} is counted down. */
    private void blockThread(int index) throws InterruptedException {
        CountDownLatch busy = new CountDownLatch(1);
        entry.trafficLoops().get(index).execute(() -> {
            busy.countDown();
            try {
                blocked.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        busy.await();
    }

    private static String completion(String body, long deadlineMillis) {
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nX-Deadline-Millis: "
                + deadlineMillis + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static String call(long deadlineMillis) {
        return "POST /services/ledger/confirm HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\nX-Deadline-Millis: "
                + deadlineMillis + "\r\nContent-Length: 0\r\n\r\n";
    }

    private static String readAll(Socket caller) throws IOException {
        return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    private static void send(Socket caller, String request) throws IOException {
        caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    }

    /** Reads a response with a body, and returns its head. */
    private static String readResponse(Socket caller) throws IOException {
        String head = readUntil(caller, "\r\n\r\n");
        int start = head.indexOf("content-length: ") + "content-length: ".length();
        caller.getInputStream().readNBytes(Integer.parseInt(head.substring(start, head.indexOf("\r\n", start))));
        return head;
    }

    private static String readUntil(Socket caller, String end) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (!bytes.toString(StandardCharsets.US_ASCII).endsWith(end)) {
            int next = caller.getInputStream().read();
            assertThat(next).as("next byte of a response").isNotNegative();
            bytes.write(next);
        }
        String head = bytes.toString(StandardCharsets.US_ASCII);
        return head.substring(0, 9) + head.substring(9).toLowerCase(Locale.ROOT);
    }

    private static void assertClosed(Socket caller) throws IOException {
        assertThat(caller.getInputStream().read()).as("end of the connection").isNegative();
    }
}
