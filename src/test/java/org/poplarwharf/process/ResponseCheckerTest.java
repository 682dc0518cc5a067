package org.poplarwharf.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.standin.EngineEvent;
import org.poplarwharf.internal.standin.Journal;
import org.poplarwharf.internal.standin.ServiceCall;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.process.ResponseChecker.Rule;

class ResponseCheckerTest {
    private static final VerifiableRequest COMPLETION = VerifiableRequest.completion(1, "m", 3);
    private static final VerifiableRequest OTHER_COMPLETION = VerifiableRequest.completion(2, "m", 3);
    private static final VerifiableRequest CALL = VerifiableRequest.nonRepeatableCall(3, "k");

    private static CallerResponse successful(VerifiableRequest request, String text) {
        return new CallerResponse(request, 1_000, 50, 200, text, "", "yes", true, "");
    }

    private static CallerResponse refused(VerifiableRequest request, long sentAtMillis) {
        return new CallerResponse(request, sentAtMillis, 50, 503, "", "overloaded", "no", true, "");
    }

    private static Journal.Entry<EngineEvent> engineStarted(VerifiableRequest request) {
        return new Journal.Entry<>(
                1_010, new EngineEvent.RequestStarted("r", ArtifactId.model("m"), request.bodyHash(), 0, 0));
    }

    private static Journal.Entry<ServiceCall> serviceRan(VerifiableRequest call, long atMillis) {
        return new Journal.Entry<>(
                atMillis, new ServiceCall(1, "POST", "/entries", call.bodyHash(), call.idempotencyKey()));
    }

    private static List<Rule> violatedRules(List<VerifiableRequest> sent, List<CallerResponse> responses) {
        return violatedRules(sent, responses, List.of(), List.of());
    }

    private static List<Rule> violatedRules(
            List<VerifiableRequest> sent,
            List<CallerResponse> responses,
            List<Journal.Entry<EngineEvent>> engines,
            List<Journal.Entry<ServiceCall>> service) {
        return ResponseChecker.check(sent, responses, engines, service).stream()
                .map(ResponseChecker.Violation::rule)
                .distinct()
                .toList();
    }

    @Test
    void accepts_complete_matching_responses_and_correct_refusals() {
        List<CallerResponse> responses = List.of(
                successful(COMPLETION, COMPLETION.expectedText()),
                refused(OTHER_COMPLETION, 1_000),
                successful(CALL, CALL.bodyHash()));
        assertThat(violatedRules(
                        List.of(COMPLETION, OTHER_COMPLETION, CALL),
                        responses,
                        List.of(engineStarted(COMPLETION)),
                        List.of(serviceRan(CALL, 1_010))))
                .isEmpty();
    }

    @Test
    void reports_a_missing_and_a_second_final_response() {
        CallerResponse response = successful(COMPLETION, COMPLETION.expectedText());
        assertThat(violatedRules(List.of(COMPLETION), List.of())).containsExactly(Rule.NO_FINAL_RESPONSE);
        assertThat(violatedRules(List.of(COMPLETION), List.of(response, response)))
                .containsExactly(Rule.MULTIPLE_FINAL_RESPONSES);
    }

    @Test
    void reports_swapped_truncated_and_late_responses() {
        VerifiableRequest shortDeadline = COMPLETION.withDeadline(10);
        CallerResponse late =
                new CallerResponse(shortDeadline, 0, 511, 200, shortDeadline.expectedText(), "", "yes", true, "");
        String truncated = COMPLETION.expectedText().substring(0, 5);
        assertThat(violatedRules(List.of(COMPLETION), List.of(successful(COMPLETION, OTHER_COMPLETION.expectedText()))))
                .contains(Rule.WRONG_CONTENT);
        assertThat(violatedRules(List.of(COMPLETION), List.of(successful(COMPLETION, truncated))))
                .containsExactly(Rule.TRUNCATED);
        assertThat(violatedRules(List.of(shortDeadline), List.of(late))).containsExactly(Rule.LATE);
    }

    @Test
    void reports_keys_that_ran_twice() {
        assertThat(violatedRules(
                        List.of(CALL),
                        List.of(successful(CALL, CALL.bodyHash())),
                        List.of(),
                        List.of(serviceRan(CALL, 1_010), serviceRan(CALL, 1_020))))
                .containsExactly(Rule.RAN_TWICE);
    }

    @Test
    void reports_refusals_as_not_run_of_requests_that_ran() {
        VerifiableRequest repeat =
                new VerifiableRequest(4, CALL.kind(), CALL.body(), Optional.of("k"), 0, 10_000, "standard");
        assertThat(violatedRules(
                        List.of(OTHER_COMPLETION),
                        List.of(refused(OTHER_COMPLETION, 1_000)),
                        List.of(engineStarted(OTHER_COMPLETION)),
                        List.of()))
                .containsExactly(Rule.RAN_DESPITE_REFUSAL);
        assertThat(violatedRules(
                        List.of(CALL), List.of(refused(CALL, 1_000)), List.of(), List.of(serviceRan(CALL, 1_010))))
                .containsExactly(Rule.RAN_DESPITE_REFUSAL);
        assertThat(violatedRules(
                        List.of(CALL, repeat),
                        List.of(successful(CALL, CALL.bodyHash()), refused(repeat, 2_000)),
                        List.of(),
                        List.of(serviceRan(CALL, 1_010))))
                .containsExactly(Rule.RAN_DESPITE_REFUSAL);
    }
}
