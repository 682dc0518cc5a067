package org.poplarwharf.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.poplarwharf.FailureCode;
import org.poplarwharf.internal.dispatch.DispatchRequest;
import org.poplarwharf.internal.dispatch.RunOutcome;
import org.poplarwharf.internal.fleet.ClientAccount;
import org.poplarwharf.internal.fleet.RequestTraits;
import org.poplarwharf.internal.fleet.Target;

class QuotaSelectorTest {
    private static final ClientAccount ACCOUNT = new ClientAccount("a", OptionalInt.empty(), Optional.empty());

    private final List<String> events = new ArrayList<>();
    private final Gate gate = new Gate();
    private long millisLeft = 5_000;
    private final QuotaSelector selector = new QuotaSelector(new Targets(), gate, ACCOUNT, 100, () -> millisLeft);

    private final class Gate implements QuotaGate {
        private QuotaGate.Callback waiting;

        @Override
        public Acquisition acquire(ClientAccount account, double units, long left, QuotaGate.Callback callback) {
            events.add("acquire " + units);
            waiting = callback;
            return () -> events.add("cancel");
        }

        @Override
        public void giveBack(ClientAccount account, double units) {
            events.add("give back " + units);
        }
    }

    private final class Targets implements TargetSelector {
        @Override
        public void select(DispatchRequest request, Callback callback) {
            events.add("select " + request.key());
        }

        @Override
        public void cancel(String key) {}

        @Override
        public void reportOutcome(String key, RunOutcome outcome) {}

        @Override
        public void reportEnd(String key, boolean successful) {}

        @Override
        public void reportLeaving(Target target) {}

        @Override
        public void reportLimit(String targetId, double requestsPerSecond) {}
    }

    private final class Caller implements TargetSelector.Callback {
        @Override
        public void onSelected(Target target, Optional<Target> backup, String by) {}

        @Override
        public void onRejected(String reason, long retryAfterMillis) {}

        @Override
        public void onRefused(FailureCode code, String reason, long retryAfterMillis) {
            events.add("refused " + code.httpStatus() + " " + retryAfterMillis);
        }
    }

    private void search(String key) {
        RequestTraits traits = new RequestTraits(
                "r",
                OptionalLong.empty(),
                Optional.empty(),
                Optional.empty(),
                0,
                0,
                List.of(),
                OptionalLong.empty(),
                Optional.empty());
        selector.select(
                new DispatchRequest(
                        key, "z", "s", traits, 0, 0, 0, false, Set.of(), Optional.empty(), Optional.of("a"), 0),
                new Caller());
    }

    @Test
    void units_are_acquired_once_for_all_attempts() {
        search("k1");
        gate.waiting.onAcquired();
        search("k2");
        selector.reportRequestEnd(true);

        assertThat(events).containsExactly("acquire 100.0", "select k1", "select k2");
    }

    @Test
    void request_over_the_quota_is_refused_and_gives_nothing_back() {
        search("k1");
        gate.waiting.onRefused(FailureCode.QUOTA_EXCEEDED, "over", 700);
        selector.reportRequestEnd(false);

        assertThat(events).containsExactly("acquire 100.0", "refused 429 700");
    }

    @Test
    void caller_that_leaves_while_it_waits_ends_the_acquisition() {
        search("k1");
        selector.cancel("k1");

        assertThat(events).containsExactly("acquire 100.0", "cancel");
    }

    @Test
    void units_of_a_request_that_has_not_run_are_given_back_within_a_second() {
        search("k1");
        gate.waiting.onAcquired();
        millisLeft -= 900;
        selector.reportRequestEnd(false);

        assertThat(events).endsWith("give back 100.0");
    }

    @Test
    void units_are_not_given_back_later() {
        search("k1");
        gate.waiting.onAcquired();
        millisLeft -= 1_100;
        selector.reportRequestEnd(false);

        assertThat(events).endsWith("select k1");
    }
}
