package org.poplarwharf.internal.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.poplarwharf.support.FakeKeyedLog;

/** Orders of two nodes never overlap, whatever the log loses in restores and whichever nodes stand still meanwhile. */
class LeaseRestorePropertyTest {
    private static final int NODE_COUNT = 3;
    private static final int STEP_COUNT = 1_200;
    private static final long STEP_MILLIS = 50;
    private static final long MIN_GAP_MILLIS = 3_000;

    @Property(tries = 150)
    void orders_of_two_holders_are_apart_and_fencing_numbers_rise_over_restores(@ForAll long seed) {
        checkOrders(seed, false);
    }

    @Property(tries = 150)
    void orders_of_two_holders_are_apart_while_leases_are_handed_over(@ForAll long seed) {
        checkOrders(seed, true);
    }

    private static void checkOrders(long seed, boolean handsOver) {
        Random random = new Random(seed);
        FakeKeyedLog log = new FakeKeyedLog();
        List<LeaseTestNode> nodes = new ArrayList<>();
        for (int i = 0; i < NODE_COUNT; i++) {
            nodes.add(new LeaseTestNode("n" + i, log));
            nodes.get(i).start();
        }
        LeaseTestNode latestHolder = null;
        long latestOrderMillis = 0;
        long highestFencingNumber = 0;
        for (int step = 0; step < STEP_COUNT; step++) {
            injectFault(random, log, nodes);
            if (handsOver) {
                handOver(random, nodes);
            }
            for (LeaseTestNode node : nodes) {
                node.advance(STEP_MILLIS);
                if (!node.lease.mayOrder()) {
                    continue;
                }
                if (latestHolder != null && latestHolder != node) {
                    assertThat(node.now() - latestOrderMillis).isGreaterThanOrEqualTo(MIN_GAP_MILLIS);
                    assertThat(node.lease.fencingNumber()).isGreaterThan(highestFencingNumber);
                }
                assertThat(node.lease.fencingNumber()).isGreaterThanOrEqualTo(highestFencingNumber);
                if (latestHolder == node && node.now() - latestOrderMillis < MIN_GAP_MILLIS) {
                    // An order with the number before may still be on its way.
                    assertThat(node.lease.fencingNumber()).isEqualTo(highestFencingNumber);
                }
                latestHolder = node;
                latestOrderMillis = node.now();
                highestFencingNumber = node.lease.fencingNumber();
            }
        }
    }

    private static void injectFault(Random random, FakeKeyedLog log, List<LeaseTestNode> nodes) {
        switch (random.nextInt(40)) {
            case 0 -> log.restore(random.nextInt(log.recordCount() + 1));
            case 1 -> log.unavailable = random.nextInt(3) == 0;
            case 2 -> log.loseNextResponse = true;
            case 3 -> {
                LeaseTestNode node = nodes.get(random.nextInt(nodes.size()));
                node.frozen = !node.frozen;
            }
            default -> {
                // No fault in this step.
            }
        }
    }

    private static void handOver(Random random, List<LeaseTestNode> nodes) {
        LeaseTestNode node = nodes.get(random.nextInt(nodes.size()));
        switch (random.nextInt(80)) {
            case 0 -> node.reachesTargets = !node.reachesTargets;
            case 1 -> node.lease.handOver();
            default -> {
                // No change in this step.
            }
        }
    }
}
