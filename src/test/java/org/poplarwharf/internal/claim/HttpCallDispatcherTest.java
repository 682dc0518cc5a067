package org.poplarwharf.internal.claim;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.poplarwharf.internal.admission.AdmissionRequest;
import org.poplarwharf.internal.admission.Grant;
import org.poplarwharf.internal.peer.PeerMessage;
import org.poplarwharf.internal.place.Permit;
import org.poplarwharf.internal.protocol.HttpEngineDialect;
import org.poplarwharf.internal.target.RawHttpTarget;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.support.ReactorThread;

/** Guards against calls that run twice, or whose response is given up, because their target is silent for a while. */
@Timeout(30)
class HttpCallDispatcherTest {
    private static final long SILENCE_MILLIS = 1_500;
    private static final String BODY = "confirmed";

    private final ReactorThread control = new ReactorThread();
    private final ReactorThread traffic = new ReactorThread();

    @AfterEach
    void stop() {
        control.close();
        traffic.close();
    }

    @Test
    void call_runs_once_and_gets_its_response_when_the_target_is_silent_before_and_in_the_response() throws Exception {
        try (RawHttpTarget target = new RawHttpTarget((n, head, out) -> {
            Thread.sleep(SILENCE_MILLIS);
            write(out, "HTTP/1.1 200 OK\r\nContent-Length: " + BODY.length() + "\r\n\r\n" + BODY.substring(0, 3));
            Thread.sleep(SILENCE_MILLIS);
            write(out, BODY.substring(3));
            return true;
        })) {
            CallDispatcher.Result result = dispatch(target);

            assertThat(result)
                    .isInstanceOfSatisfying(
                            CallDispatcher.Result.ResponseReceived.class,
                            received -> assertThat(received.body()).asString().isEqualTo(BODY));
            assertThat(target.requests).hasSize(1);
        }
    }

    @Test
    void call_whose_connection_is_lost_after_silence_is_not_sent_again() throws Exception {
        try (RawHttpTarget target = new RawHttpTarget((n, head, out) -> {
            Thread.sleep(SILENCE_MILLIS);
            return false;
        })) {
            assertThat(dispatch(target)).isInstanceOf(CallDispatcher.Result.OutcomeUnknown.class);
            assertThat(target.requests).hasSize(1);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {408, 429, 503})
    void call_that_a_target_ran_is_not_refused_as_not_run_by_the_status_of_the_target(int status) throws Exception {
        try (RawHttpTarget target = new RawHttpTarget((n, head, out) -> {
            out.write(RawHttpTarget.jsonResponse(status, "{}"));
            return true;
        })) {
            assertThat(dispatch(target)).isEqualTo(new CallDispatcher.Result.UnprovenRefusal(status));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"200 OK", "503 Service Unavailable"})
    void call_that_is_answered_with_a_malformed_head_has_an_unknown_outcome_and_is_not_sent_again(String status)
            throws Exception {
        try (RawHttpTarget target = new RawHttpTarget((n, head, out) -> {
            write(out, "HTTP/1.1 " + status + "\r\nX Note: 1\r\nContent-Length: 0\r\n\r\n");
            return true;
        })) {
            assertThat(dispatch(target)).isInstanceOf(CallDispatcher.Result.OutcomeUnknown.class);
            assertThat(target.requests).hasSize(1);
        }
    }

    private CallDispatcher.Result dispatch(RawHttpTarget target) {
        HttpCallDispatcher dispatcher =
                new HttpCallDispatcher(control.reactor(), traffic.reactor(), HttpEngineDialect.factory(), 10_000);
        AdmissionRequest admission =
                new AdmissionRequest("r", ArtifactId.service("ledger"), "c", "t", "z", 10_000, "f", 0, List.of());
        PeerMessage.Call call = new PeerMessage.Call(
                "c", "r", "t/service/ledger/k", "f", admission, "POST", "/confirm", "", new byte[0]);
        Permit permit =
                new Permit(Optional.of("c"), Optional.empty(), new Grant("g", "t1", target.address(), 0, false));
        return control.await(() -> dispatcher.dispatch(permit, call));
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }
}
