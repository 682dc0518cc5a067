package org.poplarwharf.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class DispatcherResubmissionTest {
    private static final long LONG_DEADLINE_MILLIS = 13_000;

    @Test
    void request_that_is_submitted_again_leaves_no_run_behind() {
        FakeFleet fleet = new FakeFleet("m1");
        fleet.addTarget("t1", List.of("m1"), Set.of("m1"));
        fleet.addTarget("t2", List.of("m1"), Set.of("m1"));
        fleet.sendAllHeartbeats();
        for (int i = 0; i < 2 * FakeFleet.SLOT_COUNT; i++) {
            fleet.submit("same", "m1", Optional.empty(), LONG_DEADLINE_MILLIS);
        }
        fleet.dispatcher.endRun("same", fleet.nowMillis);
        for (int i = 0; i < 2 * FakeFleet.SLOT_COUNT; i++) {
            fleet.submit("m1", LONG_DEADLINE_MILLIS);
        }

        assertThat(fleet.granted).hasSize(1 + 2 * FakeFleet.SLOT_COUNT);
    }
}
