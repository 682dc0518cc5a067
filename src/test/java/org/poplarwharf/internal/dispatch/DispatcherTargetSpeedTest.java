package org.poplarwharf.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Three targets that hold one model, of which the first may be slow. */
class DispatcherTargetSpeedTest {
    private static final long FIRST_EVENT_MILLIS = 80;
    private static final long QUIET_MILLIS = 30_000;

    private final FakeFleet fleet = new FakeFleet("m");

    @BeforeEach
    void addTargets() {
        for (int i = 0; i < 3; i++) {
            fleet.addTarget("t" + i, List.of("m"), Set.of());
        }
        fleet.sendAllHeartbeats();
    }

    @Test
    void lastingly_slow_target_gets_fewer_requests_even_after_a_quiet_time() {
        run(900, 2);
        fleet.advanceMillis(QUIET_MILLIS);
        Map<String, Integer> counts = submit(6);

        assertThat(counts.getOrDefault("t0", 0)).as("a trial").isLessThanOrEqualTo(1);
    }

    @Test
    void slow_target_is_used_when_the_others_are_full() {
        run(900, 2);

        assertThat(submit(3 * FakeFleet.SLOT_COUNT)).containsEntry("t0", FakeFleet.SLOT_COUNT);
    }

    @Test
    void target_that_recovers_gets_its_share_back() {
        run(900, 2);
        fleet.advanceMillis(QUIET_MILLIS);
        run(300, 1);
        fleet.advanceMillis(QUIET_MILLIS);

        assertThat(submit(6)).containsEntry("t0", 2);
    }

    @Test
    void requests_are_placed_as_without_observations_where_targets_are_even() {
        run(300, 1);
        fleet.advanceMillis(QUIET_MILLIS);

        assertThat(submit(6)).containsEntry("t0", 2).containsEntry("t1", 2).containsEntry("t2", 2);
    }

    @Test
    void streams_go_where_fewer_were_late_by_a_pause_if_targets_differ() {
        fleet.maxEventGapMillis = 300;
        run(900, 2);
        recordLatePauses("t1");

        assertThat(submit(6).getOrDefault("t2", 0)).isGreaterThanOrEqualTo(5);
    }

    @Test
    void late_pauses_change_nothing_where_targets_are_even() {
        fleet.maxEventGapMillis = 300;
        run(300, 1);
        recordLatePauses("t1");

        assertThat(submit(6)).containsEntry("t0", 2).containsEntry("t1", 2).containsEntry("t2", 2);
    }

    /** Lets streams at a target be late by a pause, after which all targets are idle. */
    private void recordLatePauses(String targetId) {
        fleet.advanceMillis(QUIET_MILLIS);
        List<String> keys = new ArrayList<>();
        for (int i = 0; i < 2 * FakeFleet.SLOT_COUNT; i++) {
            keys.add(fleet.submit("m", 5_000));
        }
        keys.stream()
                .filter(key -> fleet.granted.get(key).equals(targetId))
                .forEach(key -> fleet.dispatcher.recordOutcome(key, new RunOutcome.LatePause(500), fleet.nowMillis));
        keys.forEach(key -> fleet.dispatcher.endRun(key, fleet.nowMillis));
    }

    /** Runs requests, several at a time, at whose targets the first takes the given times as long. */
    private void run(int count, double slowness) {
        List<String> running = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String key = fleet.submit("m", 5_000);
            fleet.advanceMillis(20);
            double ratio = fleet.granted.get(key).equals("t0") ? slowness : 1;
            fleet.dispatcher.recordOutcome(
                    key,
                    new RunOutcome.FirstEventReceived(Math.round(FIRST_EVENT_MILLIS * ratio), Optional.empty()),
                    fleet.nowMillis);
            running.add(key);
            if (running.size() > 9) {
                fleet.dispatcher.endRun(running.removeFirst(), fleet.nowMillis);
            }
        }
        running.forEach(key -> fleet.dispatcher.endRun(key, fleet.nowMillis));
    }

    private Map<String, Integer> submit(int count) {
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < count; i++) {
            counts.merge(fleet.granted.get(fleet.submit("m", 5_000)), 1, Integer::sum);
        }
        return counts;
    }
}
