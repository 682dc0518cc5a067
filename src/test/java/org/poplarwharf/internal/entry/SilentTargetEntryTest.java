package org.poplarwharf.internal.entry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.poplarwharf.internal.target.RawHttpTarget.chunk;
import static org.poplarwharf.internal.target.RawHttpTarget.chunkedResponseHead;
import static org.poplarwharf.internal.target.RawHttpTarget.jsonResponse;
import static org.poplarwharf.internal.target.RawHttpTarget.tokenEvent;
import static org.poplarwharf.support.Eventually.eventually;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.poplarwharf.internal.admission.GrantCompletion.Outcome;
import org.poplarwharf.internal.failure.CallerReporter;
import org.poplarwharf.internal.target.RawHttpTarget;

/** Guards against responses that are given up because their target is silent for longer than the progress timeout. */
@Timeout(30)
class SilentTargetEntryTest {
    private static final String STREAMED_COMPLETION_BODY = "{\"model\":\"llama\",\"stream\":true}";
    private static final String DONE = "data: [DONE]\n\n";
    private static final String COMPLETE_STREAM = tokenEvent(0) + tokenEvent(1) + DONE;
    private static final long SILENCE_MILLIS = 3 * EntryFixture.PROGRESS_TIMEOUT_MILLIS;
    private static final int RETRY_BURST = 10;
    private static final long TEST_TIMEOUT_SECONDS = 10;

    private final EntryFixture entry = new EntryFixture();

    @AfterEach
    void close() {
        entry.close();
    }

    @Test
    void stream_that_pauses_between_events_goes_on_when_no_other_target_is_free() throws Exception {
        try (RawHttpTarget target = targetPausingInStream()) {
            entry.admission.targetAddresses.add(target.address());

            assertThat(stream()).isEqualTo(COMPLETE_STREAM);
            assertThat(target.requests).hasSize(1);
        }
    }

    @Test
    void stream_that_pauses_between_events_goes_on_when_the_search_for_another_target_is_refused() throws Exception {
        try (RawHttpTarget target = targetPausingInStream()) {
            entry.admission.targetAddresses.add(target.address());
            entry.admission.refusal = Optional.of(CallerReporter.overloaded("No other target is free."));

            assertThat(stream()).isEqualTo(COMPLETE_STREAM);
            assertThat(target.requests).hasSize(1);
        }
    }

    @Test
    void stream_that_pauses_between_events_goes_on_when_no_retry_is_left() throws Exception {
        useUpRetries();
        try (RawHttpTarget target = targetPausingInStream();
                RawHttpTarget other = targetStreaming()) {
            entry.admission.targetAddresses.addAll(List.of(target.address(), other.address()));

            assertThat(stream()).isEqualTo(COMPLETE_STREAM);
            assertThat(other.requests).isEmpty();
        }
    }

    @Test
    void stream_that_can_not_be_resumed_goes_on_after_a_pause() throws Exception {
        String event = "data: {\"text\":\"a\"}\n\n";
        try (RawHttpTarget target = new RawHttpTarget((n, head, out) -> {
                    write(out, chunkedResponseHead());
                    write(out, chunk(event));
                    Thread.sleep(SILENCE_MILLIS);
                    write(out, chunk(DONE));
                    return write(out, chunk(""));
                });
                RawHttpTarget other = targetStreaming()) {
            entry.admission.targetAddresses.addAll(List.of(target.address(), other.address()));

            assertThat(stream()).isEqualTo(event + DONE);
            assertThat(other.requests).isEmpty();
        }
    }

    @Test
    void stream_whose_first_event_is_late_runs_once_when_no_other_target_is_free() throws Exception {
        try (RawHttpTarget target = new RawHttpTarget((n, head, out) -> {
            Thread.sleep(SILENCE_MILLIS);
            return writeStream(out);
        })) {
            entry.admission.targetAddresses.add(target.address());

            assertThat(stream()).isEqualTo(COMPLETE_STREAM);
            assertThat(target.requests).hasSize(1);
        }
    }

    @Test
    void response_that_pauses_in_its_body_goes_on_when_no_other_target_is_free() throws Exception {
        try (RawHttpTarget target = targetPausingInBody()) {
            entry.admission.targetAddresses.add(target.address());

            assertThat(lookUp()).isEqualTo("{\"ok\":1}");
            assertThat(target.requests).hasSize(1);
        }
    }

    @Test
    void response_that_pauses_in_its_body_goes_on_when_no_retry_is_left() throws Exception {
        useUpRetries();
        try (RawHttpTarget target = targetPausingInBody()) {
            entry.admission.targetAddresses.add(target.address());

            assertThat(lookUp()).isEqualTo("{\"ok\":1}");
        }
    }

    @Test
    void response_on_a_reused_connection_may_begin_late() throws Exception {
        try (RawHttpTarget target = new RawHttpTarget((n, head, out) -> {
            Thread.sleep(n == 1 ? 0 : SILENCE_MILLIS);
            return write(out, jsonResponse(200, "{\"ok\":1}"));
        })) {
            entry.admission.targetAddresses.addAll(List.of(target.address(), target.address()));
            lookUp();

            assertThat(lookUp()).isEqualTo("{\"ok\":1}");
        }
    }

    @Test
    void request_that_was_sent_again_to_its_target_is_not_refused_as_not_run_by_the_response_to_the_second_send()
            throws Exception {
        try (RawHttpTarget target = new RawHttpTarget((n, head, out) -> {
            Thread.sleep(n == 2 ? SILENCE_MILLIS : 0);
            return n == 1 ? writeStream(out) : write(out, jsonResponse(404, "{\"code\":\"not-loaded\"}"));
        })) {
            entry.admission.targetAddresses.addAll(List.of(target.address(), target.address()));
            entry.admission.refusal = Optional.of(CallerReporter.overloaded("No other target is free."));
            stream();

            assertThat(stream()).contains("target-failed").contains("unknown");
            assertThat(target.requests).hasSize(3);
        }
    }

    @Test
    void stream_on_a_reused_connection_may_begin_late() throws Exception {
        try (RawHttpTarget target = new RawHttpTarget((n, head, out) -> {
            Thread.sleep(n == 1 ? 0 : SILENCE_MILLIS);
            return writeStream(out);
        })) {
            entry.admission.targetAddresses.addAll(List.of(target.address(), target.address()));
            stream();

            assertThat(stream()).isEqualTo(COMPLETE_STREAM);
        }
    }

    @Test
    void request_that_reached_a_target_before_its_connection_was_replaced_in_vain_does_not_fail_as_not_run()
            throws Exception {
        AtomicReference<RawHttpTarget> listening = new AtomicReference<>();
        try (RawHttpTarget target = new RawHttpTarget((n, head, out) -> {
            if (n == 1) {
                return write(out, jsonResponse(200, "{}"));
            }
            listening.get().close();
            return true;
        })) {
            listening.set(target);
            entry.admission.targetAddresses.addAll(List.of(target.address(), target.address()));
            lookUp();

            String problem = entry.send(entry.request("/services/ledger/casks")
                            .header("X-Deadline-Millis", "1500")
                            .GET())
                    .join()
                    .body();

            assertThat(problem).contains("\"code\":\"deadline-exceeded-running\"", "\"ran\":\"unknown\"");
        }
    }

    @Test
    void silent_stream_moves_to_another_target_and_ends_at_the_silent_one() throws Exception {
        try (RawHttpTarget silent = targetFallingSilent();
                RawHttpTarget other = targetStreaming()) {
            entry.admission.targetAddresses.addAll(List.of(silent.address(), other.address()));

            assertThat(stream()).isEqualTo(COMPLETE_STREAM);

            assertThat(other.requests.get(0).toLowerCase()).contains("x-resume-after-tokens: 1");
            assertThat(silent.clientDisconnected.await(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS))
                    .isTrue();
            assertThat(lastExcludedTargets()).containsExactly("t1");
            eventually(
                    "both permits are released",
                    () -> entry.admission.releasedOutcomes.equals(List.of(Outcome.NO_PROGRESS, Outcome.ANSWERED)));
        }
    }

    @Test
    void stream_moves_to_a_third_target_when_the_second_one_is_silent_or_fails() throws Exception {
        try (RawHttpTarget silent = targetFallingSilent();
                RawHttpTarget mute = new RawHttpTarget((n, head, out) -> true);
                RawHttpTarget failing = new RawHttpTarget((n, head, out) -> false);
                RawHttpTarget last = targetStreaming()) {
            entry.admission.targetAddresses.addAll(
                    List.of(silent.address(), mute.address(), failing.address(), last.address()));

            assertThat(stream()).isEqualTo(COMPLETE_STREAM);
        }
    }

    @Test
    void response_that_falls_silent_in_its_body_is_repeated_at_another_target() throws Exception {
        try (RawHttpTarget silent = new RawHttpTarget((n, head, out) -> write(out, halfResponse()));
                RawHttpTarget other =
                        new RawHttpTarget((n, head, out) -> write(out, jsonResponse(200, "{\"other\":1}")))) {
            entry.admission.targetAddresses.addAll(List.of(silent.address(), other.address()));

            assertThat(lookUp()).isEqualTo("{\"other\":1}");
            assertThat(silent.clientDisconnected.await(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS))
                    .isTrue();
        }
    }

    @Test
    void search_is_cancelled_without_use_of_a_retry_when_the_target_goes_on() throws Exception {
        try (RawHttpTarget target = targetPausingInBody()) {
            for (int i = 0; i < 2; i++) {
                entry.admission.targetAddresses.add(target.address());
                lookUp();
            }
        }

        eventually("both searches are cancelled", () -> entry.admission.cancelledRequestIds.containsAll(searchIds()));
        assertThat(searchIds()).hasSize(2);
        assertThat(useUpRetries()).isEqualTo(RETRY_BURST);
    }

    @Test
    void stream_of_a_target_that_stays_silent_ends_with_an_error_event_at_the_deadline() throws Exception {
        try (RawHttpTarget silent = targetFallingSilent()) {
            entry.admission.targetAddresses.add(silent.address());
            var response = entry.openStream(
                            entry.completion(STREAMED_COMPLETION_BODY).header("X-Deadline-Millis", "1000"))
                    .join();
            byte[] body = new byte[tokenEvent(0).length() + "event: error".length()];

            response.body().readNBytes(body, 0, body.length);

            assertThat(new String(body, StandardCharsets.UTF_8)).isEqualTo(tokenEvent(0) + "event: error");
            assertThat(silent.clientDisconnected.await(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS))
                    .isTrue();
        }
    }

    /** Fails one request at a target that closes its connections, and returns how often it was retried. */
    private int useUpRetries() throws IOException {
        try (RawHttpTarget failing = new RawHttpTarget((n, head, out) -> false)) {
            for (int i = 0; i <= RETRY_BURST; i++) {
                entry.admission.targetAddresses.add(failing.address());
            }
            assertThat(entry.send(entry.request("/services/ledger/casks").GET())
                            .join()
                            .statusCode())
                    .isEqualTo(502);
            entry.admission.targetAddresses.clear();
            return failing.requests.size() - 1;
        }
    }

    private List<String> searchIds() {
        return entry.admission.permitRequests.stream()
                .map(request -> request.admissionRequest())
                .filter(request -> request.excludedTargets().size() == 1)
                .limit(2)
                .map(request -> request.requestId())
                .toList();
    }

    private List<String> lastExcludedTargets() {
        return entry.admission.permitRequests.getLast().admissionRequest().excludedTargets();
    }

    private String stream() {
        return entry.send(entry.completion(STREAMED_COMPLETION_BODY))
                .orTimeout(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .join()
                .body();
    }

    private String lookUp() {
        return entry.send(entry.request("/services/ledger/casks").GET()).join().body();
    }

    private static RawHttpTarget targetPausingInStream() throws IOException {
        return new RawHttpTarget((n, head, out) -> {
            write(out, chunkedResponseHead());
            write(out, chunk(tokenEvent(0)));
            Thread.sleep(SILENCE_MILLIS);
            write(out, chunk(tokenEvent(1)));
            write(out, chunk(DONE));
            return write(out, chunk(""));
        });
    }

    private static RawHttpTarget targetFallingSilent() throws IOException {
        return new RawHttpTarget((n, head, out) -> {
            write(out, chunkedResponseHead());
            return write(out, chunk(tokenEvent(0)));
        });
    }

    private static RawHttpTarget targetStreaming() throws IOException {
        return new RawHttpTarget((n, head, out) -> writeStream(out));
    }

    private static RawHttpTarget targetPausingInBody() throws IOException {
        byte[] response = jsonResponse(200, "{\"ok\":1}");
        return new RawHttpTarget((n, head, out) -> {
            write(out, halfResponse());
            Thread.sleep(SILENCE_MILLIS);
            out.write(response, halfResponse().length, response.length - halfResponse().length);
            return true;
        });
    }

    private static byte[] halfResponse() {
        byte[] response = jsonResponse(200, "{\"ok\":1}");
        return Arrays.copyOf(response, response.length - 4);
    }

    private static boolean writeStream(OutputStream out) throws IOException {
        write(out, chunkedResponseHead());
        write(out, chunk(tokenEvent(0)));
        write(out, chunk(tokenEvent(1)));
        write(out, chunk(DONE));
        return write(out, chunk(""));
    }

    private static boolean write(OutputStream out, byte[] bytes) throws IOException {
        out.write(bytes);
        out.flush();
        return true;
    }
}
