package org.poplarwharf.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Checks when a dispatcher refuses requests for which there is no room, with and without the choice by cost. */
class DispatcherWaitingPolicyTest {
    private static final long DEADLINE_MILLIS = 2_000;

    @Test
    void refuses_at_once_what_cannot_start_before_its_deadline_where_the_settings_call_for_it() {
        FakeFleet fleet = new FakeFleet(true, "m1");
        overloadFor500Millis(fleet);

        assertThat(fleet.refused).isNotEmpty().containsValue("room-taken");
        assertThat(fleet.refused.size()).isLessThan(95);
    }

    @Test
    void refuses_nothing_before_it_has_waited_otherwise() {
        FakeFleet fleet = new FakeFleet("m1");
        overloadFor500Millis(fleet);

        assertThat(fleet.refused).isEmpty();
    }

    /** Submits many requests to a full target that ends one run in each tenth of a second. */
    private static void overloadFor500Millis(FakeFleet fleet) {
        fleet.addTarget("t1", List.of("m1"), Set.of("m1"));
        fleet.sendAllHeartbeats();
        for (int i = 0; i < FakeFleet.SLOT_COUNT + 100; i++) {
            fleet.submit("m1", DEADLINE_MILLIS);
        }
        for (int i = 0; i < 5; i++) {
            fleet.dispatcher.endRun(List.copyOf(fleet.granted.keySet()).get(i), fleet.nowMillis);
            fleet.advanceMillis(100);
        }
    }
}
