package org.poplarwharf.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Dispatches requests to targets that have named the requests per second that they take. */
class DispatcherTargetLimitTest {
    private static final long LONG_DEADLINE_MILLIS = 13_000;

    @Test
    void target_with_a_limit_gets_requests_at_its_rate_and_the_others_wait() {
        FakeFleet fleet = new FakeFleet("m1");
        fleet.addTarget("t1", List.of("m1"), Set.of("m1"));
        fleet.sendAllHeartbeats();
        fleet.targetLimits.recordNamed("t1", 1, fleet.nowMillis);
        for (int i = 0; i < 3; i++) {
            fleet.submit("m1", LONG_DEADLINE_MILLIS);
        }
        fleet.advanceMillis(900);
        assertThat(fleet.granted).isEmpty();
        for (int i = 0; i < 20; i++) {
            fleet.advanceMillis(100);
        }

        assertThat(fleet.granted).hasSize(2);
        assertThat(fleet.refused).isEmpty();
    }

    @Test
    void request_that_the_limit_of_its_only_target_keeps_out_is_refused_at_once_with_the_expected_wait() {
        FakeFleet fleet = new FakeFleet("m1");
        fleet.addTarget("t1", List.of("m1"), Set.of("m1"));
        fleet.sendAllHeartbeats();
        fleet.targetLimits.recordNamed("t1", 1, fleet.nowMillis);
        for (int i = 0; i < 5; i++) {
            fleet.submit("m1", 4_000);
        }

        assertThat(fleet.refused).hasSize(3).containsValue("targets-limited");
        assertThat(fleet.retryAfterMillis.values()).allMatch(millis -> millis >= 2_000 && millis <= 4_000);
    }

    @Test
    void urgent_request_takes_the_next_permit_before_others_that_wait_longer() {
        FakeFleet fleet = new FakeFleet("m1");
        fleet.addTarget("t1", List.of("m1"), Set.of("m1"));
        fleet.sendAllHeartbeats();
        fleet.targetLimits.recordNamed("t1", 0.5, fleet.nowMillis);
        fleet.submit("m1", LONG_DEADLINE_MILLIS);
        String urgent = fleet.submitUrgent("m1", LONG_DEADLINE_MILLIS);
        fleet.advanceMillis(2_100);

        assertThat(fleet.granted).containsOnlyKeys(urgent);
    }

    @Test
    void target_without_a_limit_is_preferred_to_one_that_has_named_a_limit() {
        FakeFleet fleet = new FakeFleet("m1");
        fleet.addTarget("t1", List.of("m1"), Set.of("m1"));
        fleet.addTarget("t2", List.of("m1"), Set.of("m1"));
        fleet.sendAllHeartbeats();
        fleet.targetLimits.recordNamed("t1", 100, fleet.nowMillis);
        fleet.advanceMillis(1_500);
        String key = fleet.submit("m1", LONG_DEADLINE_MILLIS);

        assertThat(fleet.granted).containsEntry(key, "t2");
    }

    @Test
    void model_whose_only_target_has_a_limit_is_loaded_at_another_target_with_a_copy() {
        FakeFleet fleet = new FakeFleet("m1", "m2");
        fleet.addTarget("t1", List.of("m1"), Set.of("m1"));
        fleet.addTarget("t2", List.of(), Set.of("m1"));
        fleet.sendAllHeartbeats();
        fleet.targetLimits.recordNamed("t1", 0.2, fleet.nowMillis);
        fleet.submit("m1", LONG_DEADLINE_MILLIS);
        fleet.executeOrdersFor(1_500);

        assertThat(fleet.orderedModels(EngineOrder.Kind.LOAD)).contains("m1");
        assertThat(fleet.granted).containsValue("t2");
    }

    @Test
    void first_event_of_a_run_granted_after_the_limit_was_named_ends_the_limit_unless_it_is_named_again() {
        FakeFleet fleet = new FakeFleet("m1");
        fleet.addTarget("t1", List.of("m1"), Set.of("m1"));
        fleet.sendAllHeartbeats();
        fleet.targetLimits.recordNamed("t1", 1, fleet.nowMillis);
        fleet.advanceMillis(1_100);
        String first = fleet.submit("m1", LONG_DEADLINE_MILLIS);
        fleet.targetLimits.recordNamed("t1", 1, fleet.nowMillis);
        fleet.dispatcher.recordOutcome(first, new RunOutcome.FirstEventReceived(50, Optional.empty()), fleet.nowMillis);
        assertThat(fleet.targetLimits.isLimited("t1")).isTrue();

        fleet.advanceMillis(1_100);
        String second = fleet.submit("m1", LONG_DEADLINE_MILLIS);
        fleet.dispatcher.recordOutcome(
                second, new RunOutcome.FirstEventReceived(50, Optional.empty()), fleet.nowMillis);
        assertThat(fleet.targetLimits.isLimited("t1")).isFalse();
    }
}
