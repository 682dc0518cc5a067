package org.poplarwharf.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.fleet.Target;

class TargetSpeedsTest {
    private static final long MINUTE_MILLIS = 60_000;

    /** All targets take this much longer than expected. */
    private static final double COMMON_RATIO = 1.6;

    private final List<String> changes = new ArrayList<>();
    private final TargetSpeeds speeds =
            new TargetSpeeds((targetId, slow, estimate) -> changes.add(targetId + " " + slow));
    private final Random random = new Random(11);
    private final List<Target> targets =
            List.of(target("t0", 1, "v1"), target("t1", 1, "v1"), target("t2", 1, "v1"), target("t3", 1, "v1"));
    private long nowMillis;

    @Test
    void targets_of_even_speed_stay_exactly_normal_whatever_all_take() {
        for (int i = 0; i < 2_000; i++) {
            observe(targets.get(i % 4), 1, 1);
            targets.forEach(
                    target -> assertThat(speeds.slowness(target, nowMillis)).isEqualTo(1));
        }
        assertThat(changes).isEmpty();
    }

    @Test
    void lasting_slowness_is_kept_over_a_quiet_time_but_not_for_ever() {
        observeAll(0.55);
        assertThat(speeds.slowness(targets.get(0), nowMillis)).isCloseTo(1 / 0.55, within(0.36));
        assertThat(changes).containsExactly("t0 true");

        nowMillis += MINUTE_MILLIS;
        assertThat(speeds.slowness(targets.get(0), nowMillis)).isGreaterThan(1.4);
        nowMillis += 5 * MINUTE_MILLIS;
        assertThat(speeds.slowness(targets.get(0), nowMillis)).isEqualTo(1);
    }

    @Test
    void target_that_recovers_counts_as_normal_within_ten_responses() {
        observeAll(0.55);
        observe(targets.get(0), 1, 10);

        assertThat(speeds.slowness(targets.get(0), nowMillis)).isEqualTo(1);
        assertThat(changes).containsExactly("t0 true", "t0 false");
    }

    @Test
    void restarted_target_or_one_of_other_software_is_unknown() {
        observeAll(0.55);

        assertThat(speeds.slowness(target("t0", 2, "v1"), nowMillis)).isEqualTo(1);
        assertThat(speeds.slowness(target("t0", 1, "v2"), nowMillis)).isEqualTo(1);
    }

    @Test
    void other_node_knows_what_the_holder_has_learned_of_the_same_incarnations() {
        observeAll(0.55);
        TargetSpeeds other = new TargetSpeeds((targetId, slow, estimate) -> {});
        other.restore(
                speeds.summaries(),
                id -> targets.stream().filter(known -> known.id().equals(id)).findAny(),
                nowMillis);
        assertThat(other.slowness(targets.get(0), nowMillis))
                .isCloseTo(speeds.slowness(targets.get(0), nowMillis), within(0.1));

        TargetSpeeds later = new TargetSpeeds((targetId, slow, estimate) -> {});
        later.restore(speeds.summaries(), id -> Optional.of(target(id, 2, "v1")), nowMillis);
        assertThat(later.summaries()).isEmpty();
    }

    /** Observes responses of all targets, of which the first has the given speed. */
    private void observeAll(double speed) {
        for (int i = 0; i < 40; i++) {
            for (Target target : targets) {
                observe(target, target == targets.get(0) ? speed : 1, 1);
            }
        }
    }

    private void observe(Target target, double speed, int count) {
        for (int i = 0; i < count; i++) {
            nowMillis += 20;
            long expectedMillis = 60 + random.nextInt(200);
            double noise = random.nextDouble() < 0.15 ? 2.5 : 1;
            long observedMillis = Math.round(expectedMillis * COMMON_RATIO * noise / speed);
            speeds.recordFirstEvent(target, "m", expectedMillis, observedMillis, nowMillis);
        }
    }

    private static Target target(String id, long startedAtMillis, String softwareVersion) {
        return new Target(
                id,
                startedAtMillis,
                1,
                "lm",
                new InetSocketAddress("127.0.0.1", 1),
                "z1",
                8,
                false,
                OptionalLong.empty(),
                softwareVersion,
                List.of(),
                Set.of(),
                Set.of());
    }
}
