package org.poplarwharf.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.standin.EngineEvent;
import org.poplarwharf.internal.standin.Journal;
import org.poplarwharf.internal.standin.ServiceCall;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.process.AnswerChecker.Rule;

class AnswerCheckerTest {
    private static final CallerRequest COMPLETION = CallerRequest.completion(1, "m", 3);
    private static final CallerRequest OTHER = CallerRequest.completion(2, "m", 3);
    private static final CallerRequest CALL = CallerRequest.call(3, "k");

    private static CallerAnswer good(CallerRequest request, String text) {
        return new CallerAnswer(request, 1_000, 50, 200, text, "", "yes", true);
    }

    private static CallerAnswer refused(CallerRequest request, long sentAtMillis) {
        return new CallerAnswer(request, sentAtMillis, 50, 503, "", "overloaded", "no", true);
    }

    private static Journal.Entry<EngineEvent> started(CallerRequest request) {
        return new Journal.Entry<>(
                1_010, new EngineEvent.RequestStarted("r", ArtifactId.model("m"), request.bodyHash(), 0, 0));
    }

    private static Journal.Entry<ServiceCall> ran(CallerRequest call, long atMillis) {
        return new Journal.Entry<>(atMillis, new ServiceCall(1, "POST", "/entries", call.bodyHash(), call.key()));
    }

    private static List<Rule> rules(List<CallerRequest> sent, List<CallerAnswer> answers) {
        return rules(sent, answers, List.of(), List.of());
    }

    private static List<Rule> rules(
            List<CallerRequest> sent,
            List<CallerAnswer> answers,
            List<Journal.Entry<EngineEvent>> engines,
            List<Journal.Entry<ServiceCall>> service) {
        return AnswerChecker.check(sent, answers, engines, service).stream()
                .map(AnswerChecker.Violation::rule)
                .distinct()
                .toList();
    }

    @Test
    void whole_own_answers_and_true_refusals_pass() {
        List<CallerAnswer> answers =
                List.of(good(COMPLETION, COMPLETION.expected()), refused(OTHER, 1_000), good(CALL, CALL.bodyHash()));
        assertThat(rules(
                        List.of(COMPLETION, OTHER, CALL),
                        answers,
                        List.of(started(COMPLETION)),
                        List.of(ran(CALL, 1_010))))
                .isEmpty();
    }

    @Test
    void a_missing_and_a_second_final_answer_are_found() {
        CallerAnswer answer = good(COMPLETION, COMPLETION.expected());
        assertThat(rules(List.of(COMPLETION), List.of())).containsExactly(Rule.NO_FINAL_ANSWER);
        assertThat(rules(List.of(COMPLETION), List.of(answer, answer))).containsExactly(Rule.SEVERAL_FINAL_ANSWERS);
    }

    @Test
    void crossed_short_and_late_answers_are_found() {
        CallerRequest hasty = COMPLETION.within(10);
        CallerAnswer late = new CallerAnswer(hasty, 0, 511, 200, hasty.expected(), "", "yes", true);
        String cut = COMPLETION.expected().substring(0, 5);
        assertThat(rules(List.of(COMPLETION), List.of(good(COMPLETION, OTHER.expected()))))
                .contains(Rule.NOT_ITS_OWN);
        assertThat(rules(List.of(COMPLETION), List.of(good(COMPLETION, cut)))).containsExactly(Rule.NOT_WHOLE);
        assertThat(rules(List.of(hasty), List.of(late))).containsExactly(Rule.LATE);
    }

    @Test
    void keys_that_ran_twice_are_found() {
        assertThat(rules(
                        List.of(CALL),
                        List.of(good(CALL, CALL.bodyHash())),
                        List.of(),
                        List.of(ran(CALL, 1_010), ran(CALL, 1_020))))
                .containsExactly(Rule.RAN_TWICE);
    }

    @Test
    void refusals_as_not_run_of_what_had_run_are_found() {
        CallerRequest repeat = new CallerRequest(4, CALL.kind(), CALL.body(), Optional.of("k"), 0, 10_000, "standard");
        assertThat(rules(List.of(OTHER), List.of(refused(OTHER, 1_000)), List.of(started(OTHER)), List.of()))
                .containsExactly(Rule.RAN_THOUGH_REFUSED);
        assertThat(rules(List.of(CALL), List.of(refused(CALL, 1_000)), List.of(), List.of(ran(CALL, 1_010))))
                .containsExactly(Rule.RAN_THOUGH_REFUSED);
        assertThat(rules(
                        List.of(CALL, repeat),
                        List.of(good(CALL, CALL.bodyHash()), refused(repeat, 2_000)),
                        List.of(),
                        List.of(ran(CALL, 1_010))))
                .containsExactly(Rule.RAN_THOUGH_REFUSED);
    }
}
