package org.poplarwharf.internal.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Plays nodes that pass requests on to a limited target, with one of them at a time as the lease holder. Nodes restart, are
 * cut off from the holder, and the holder changes; reports of the limit arrive late.
 */
class TargetLimitPropertyTest {
    private static final String TARGET = "t";
    private static final long STEP_MILLIS = 10;
    private static final long HISTORY_MILLIS = 60_000;
    private static final long WINDOW_MILLIS = 4_000;
    private static final int MAX_REPORT_DELAY_STEPS = 30;
    private static final double EVENT_PROBABILITY = 0.002;

    /** The nodes, of which the one with the holder's index may issue permits. */
    private static final class Fleet {
        private final Random random;
        private final List<TargetLimits> nodes = new ArrayList<>();
        private final List<Integer> cutUntilStep = new ArrayList<>();
        private final List<Long> arrivals = new ArrayList<>();
        private final List<LateReport> reports = new ArrayList<>();
        private int holder;

        private record LateReport(int step, double requestsPerSecond) {}

        Fleet(int nodeCount, long seed) {
            random = new Random(seed);
            for (int i = 0; i < nodeCount; i++) {
                nodes.add(null);
                cutUntilStep.add(0);
                restart(i);
            }
        }

        private void restart(int node) {
            nodes.set(node, new TargetLimits(() -> holder == node, (target, requestsPerSecond) -> {}));
        }

        private void changeSomething(int step, long nowMillis) {
            int node = random.nextInt(nodes.size());
            switch (random.nextInt(3)) {
                case 0 -> {
                    restart(node);
                    if (node == holder) {
                        startHolding(node, nowMillis);
                    }
                }
                case 1 -> cutUntilStep.set(node, step + random.nextInt(500));
                default -> startHolding(node, nowMillis);
            }
        }

        private void startHolding(int node, long nowMillis) {
            holder = node;
            nodes.get(node).restartPacing(nowMillis);
            // The other nodes report to a new or restarted holder what they know when they connect to it.
            nodes.forEach(other -> other.requestsPerSecondByTarget()
                    .forEach((target, limit) -> nodes.get(node).recordNamed(target, limit, nowMillis)));
        }

        private void deliverReports(int step, long nowMillis) {
            reports.removeIf(report -> {
                if (report.step() > step) {
                    return false;
                }
                nodes.get(holder).recordNamed(TARGET, report.requestsPerSecond(), nowMillis);
                nodes.forEach(node -> node.replaceAll(nodes.get(holder).requestsPerSecondByTarget(), nowMillis));
                return true;
            });
        }

        /** Sends a request through a node, if that knows no limit or gets a permit of the holder. */
        private void send(int node, int step, long nowMillis, double requestsPerSecond) {
            TargetLimits own = nodes.get(node);
            boolean isCut = cutUntilStep.get(node) > step;
            boolean allowed = own.isLimited(TARGET) && !isCut
                    ? nodes.get(holder).tryAcquire(TARGET, nowMillis)
                    : own.tryAcquire(TARGET, nowMillis);
            if (allowed) {
                arrivals.add(nowMillis);
                own.recordNamed(TARGET, requestsPerSecond, nowMillis);
                reports.add(new LateReport(step + random.nextInt(MAX_REPORT_DELAY_STEPS), requestsPerSecond));
            }
        }

        private void play(double requestsPerSecond, double demandPerStep, boolean withEvents) {
            for (int step = 0; step * STEP_MILLIS < HISTORY_MILLIS; step++) {
                long nowMillis = step * STEP_MILLIS;
                deliverReports(step, nowMillis);
                if (withEvents && random.nextDouble() < EVENT_PROBABILITY) {
                    changeSomething(step, nowMillis);
                }
                // Demand is unequal: the first node gets half of it.
                int node = random.nextBoolean() ? 0 : random.nextInt(nodes.size());
                if (random.nextDouble() < demandPerStep) {
                    send(node, step, nowMillis, requestsPerSecond);
                }
            }
        }

        /** Returns the most arrivals in a window after the first window. */
        private long mostInWindow() {
            return arrivals.stream()
                    .filter(start -> start >= WINDOW_MILLIS)
                    .mapToLong(start -> arrivals.stream()
                            .filter(other -> other >= start && other < start + WINDOW_MILLIS)
                            .count())
                    .max()
                    .orElse(0);
        }
    }

    @Property(tries = 60)
    void requests_of_all_nodes_stay_below_the_limit_through_restarts_cuts_and_changes_of_the_holder(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int tenthsPerSecond) {
        double requestsPerSecond = tenthsPerSecond / 10.0;
        Fleet fleet = new Fleet(8, seed);
        fleet.play(requestsPerSecond, 0.3, true);

        // Each node that has restarted may send one request before it learns of the limit.
        long restartSlack = 3;
        assertThat(fleet.mostInWindow())
                .isLessThanOrEqualTo((long) (1.5 * requestsPerSecond * WINDOW_MILLIS / 1_000) + 5 + restartSlack);
    }

    @Property(tries = 40)
    void at_least_four_fifths_of_a_limit_are_used_and_never_more_than_it_with_unequal_demand(
            @ForAll long seed, @ForAll @IntRange(min = 2, max = 40) int tenthsPerSecond) {
        double requestsPerSecond = tenthsPerSecond / 10.0;
        Fleet fleet = new Fleet(8, seed);
        fleet.play(requestsPerSecond, 0.6, false);
        long afterStart =
                fleet.arrivals.stream().filter(at -> at >= WINDOW_MILLIS).count();
        double allowed = requestsPerSecond * (HISTORY_MILLIS - WINDOW_MILLIS) / 1_000;

        assertThat((double) afterStart).isBetween(0.8 * allowed - 1, allowed + requestsPerSecond + 1);
    }
}
