package org.poplarwharf.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.fleet.Target;

class BrittleTargetsTest {
    private static final long STABLE_WINDOW_MILLIS = 3_000;
    private static final long PLAY_MILLIS = 16_000;
    private static final OptionalDouble THREE = OptionalDouble.of(3);
    private static final Target TARGET = target("i-1", 4);
    private final BrittleTargets targets = newTargets("n1", 4);

    private static Target target(String id, int slots) {
        return new Target(
                id,
                1,
                1,
                "desk",
                InetSocketAddress.createUnresolved("h", 1),
                "z1",
                slots,
                false,
                OptionalLong.empty(),
                "v1",
                List.of(),
                Set.of(),
                Set.of());
    }

    private static BrittleTargets newTargets(String nodeId, int nodeCount) {
        BrittleTargets targets = new BrittleTargets(nodeId);
        Optional<Integer> position = Optional.of(Integer.valueOf(nodeId.substring(1)));
        targets.recordNodes(nodeCount, position, -2_000);
        targets.recordNodes(nodeCount, position, 0);
        return targets;
    }

    /** Nodes with as many callers as they can send, and one target that admits fewer and fewer requests. */
    private static final class Play {
        private final Random random;
        private final Target target;
        private final int nodeCount;
        private final OptionalDouble declinesPerSecond;
        private final List<BrittleTargets> nodes = new ArrayList<>();
        private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> Long.compare(a.millis, b.millis));
        private final Deque<Long> declinedMillis = new ArrayDeque<>();
        private long nowMillis;
        private int runningCount;
        private int mostDeclined;
        private int servedCount;

        private record Event(long millis, Runnable action) {}

        Play(long seed, int nodeCount, int slots, double declinesPerSecond) {
            this.random = new Random(seed);
            this.target = target("i-" + seed, slots);
            this.nodeCount = nodeCount;
            this.declinesPerSecond = OptionalDouble.of(declinesPerSecond);
            for (int i = 0; i < nodeCount; i++) {
                nodes.add(newTargets("n" + i, nodeCount));
            }
        }

        void run() {
            for (BrittleTargets node : nodes) {
                node.recordResponse(target, declinesPerSecond, false, 0, 0);
                at(random.nextInt(100), () -> send(node));
            }
            for (Event next = events.poll(); next != null && next.millis < PLAY_MILLIS; next = events.poll()) {
                nowMillis = next.millis;
                next.action.run();
            }
        }

        private void at(long millis, Runnable action) {
            events.add(new Event(millis, action));
        }

        private void send(BrittleTargets node) {
            while (node.waitMillis(target, nowMillis) == 0) {
                BrittleTargets.InFlight inFlight = node.recordSent(target);
                long sentMillis = nowMillis;
                at(nowMillis + random.nextInt(30), () -> arrive(node, inFlight, sentMillis));
            }
            at(nowMillis + 1 + random.nextInt(40), () -> send(node));
        }

        private int room() {
            double waitingRatio = Math.max(0, 1 - nowMillis / (STABLE_WINDOW_MILLIS + 2_000.0));
            return target.slots() + (int) (2 * target.slots() * waitingRatio);
        }

        private void arrive(BrittleTargets node, BrittleTargets.InFlight inFlight, long sentMillis) {
            boolean declined = runningCount >= room();
            if (declined) {
                declinedMillis.add(nowMillis);
                declinedMillis.removeIf(millis -> millis <= nowMillis - 1_000);
                mostDeclined = nowMillis < STABLE_WINDOW_MILLIS + 1_000
                        ? mostDeclined
                        : Math.max(mostDeclined, declinedMillis.size());
                at(nowMillis + random.nextInt(30), () -> end(node, inFlight, true, sentMillis));
                return;
            }
            runningCount++;
            at(nowMillis + 5 + random.nextInt(400), () -> {
                runningCount--;
                servedCount++;
                at(nowMillis + random.nextInt(30), () -> end(node, inFlight, false, sentMillis));
            });
        }

        private void end(BrittleTargets node, BrittleTargets.InFlight inFlight, boolean declined, long sentMillis) {
            node.recordResponse(target, declinesPerSecond, declined, sentMillis, nowMillis);
            inFlight.end(true, nowMillis);
        }
    }

    @Property(tries = 1_000)
    void all_nodes_together_are_declined_no_more_than_the_stated_number_in_any_second(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 50) int nodeCount,
            @ForAll @IntRange(min = 1, max = 64) int slots,
            @ForAll @DoubleRange(min = 0.5, max = 50) double declinesPerSecond) {
        Play play = new Play(seed, nodeCount, slots, declinesPerSecond);

        play.run();

        assertThat((double) play.mostDeclined).isLessThanOrEqualTo(declinesPerSecond);
        assertThat(play.servedCount).isPositive();
    }

    @Test
    void target_that_states_nothing_takes_any_number_of_requests() {
        for (int i = 0; i < 100; i++) {
            targets.recordSent(TARGET);
        }

        assertThat(targets.waitMillis(TARGET, 0)).isZero();
    }

    @Test
    void node_uses_only_its_share_of_a_brittle_target() {
        targets.recordResponse(TARGET, THREE, false, 0, 10);
        BrittleTargets.InFlight inFlight = targets.recordSent(TARGET);
        assertThat(targets.waitMillis(TARGET, 20)).isPositive();

        inFlight.end(true, 30);
        assertThat(targets.waitMillis(TARGET, 30)).isZero();
    }

    @Test
    void request_that_was_given_up_occupies_its_target_for_a_moment() {
        targets.recordResponse(TARGET, THREE, false, 0, 10);
        targets.recordSent(TARGET).end(false, 20);

        assertThat(targets.waitMillis(TARGET, 400)).isPositive();
        assertThat(targets.waitMillis(TARGET, 600)).isZero();
    }

    @Test
    void declined_node_stays_away_for_more_than_a_second() {
        targets.recordResponse(TARGET, THREE, true, 0, 10);

        assertThat(targets.waitMillis(TARGET, 1_100)).isPositive();
        assertThat(targets.waitMillis(TARGET, 5_000)).isZero();
    }

    @Test
    void late_response_without_a_statement_does_not_end_one() {
        targets.recordResponse(TARGET, THREE, false, 0, 10);
        targets.recordSent(TARGET);

        assertThat(targets.recordResponse(TARGET, OptionalDouble.empty(), false, 5, 20))
                .isEqualTo(BrittleTargets.Change.NONE);
        assertThat(targets.waitMillis(TARGET, 20)).isPositive();
        assertThat(targets.recordResponse(TARGET, OptionalDouble.empty(), false, 15, 30))
                .isEqualTo(BrittleTargets.Change.ENDED);
        assertThat(targets.waitMillis(TARGET, 30)).isZero();
    }

    @Test
    void new_target_of_a_brittle_service_is_brittle_until_it_shows_otherwise() {
        Target other = target("i-2", 4);
        targets.recordResponse(TARGET, THREE, false, 0, 10);
        targets.recordSent(other);
        assertThat(targets.waitMillis(other, 20)).isPositive();

        targets.recordResponse(other, OptionalDouble.empty(), false, 15, 30);
        assertThat(targets.waitMillis(other, 30)).isZero();
    }

    @Test
    void new_incarnation_starts_without_a_hold() {
        targets.recordResponse(TARGET, THREE, true, 0, 10);
        targets.forget(TARGET);

        assertThat(targets.waitMillis(TARGET, 20)).isZero();
    }

    @Test
    void end_of_a_request_at_an_earlier_incarnation_frees_no_room_at_the_new_one() {
        targets.recordResponse(TARGET, THREE, false, 0, 10);
        BrittleTargets.InFlight earlier = targets.recordSent(TARGET);
        targets.forget(TARGET);
        targets.recordSent(TARGET);
        earlier.end(true, 20);

        assertThat(targets.waitMillis(TARGET, 20)).isPositive();
    }
}
