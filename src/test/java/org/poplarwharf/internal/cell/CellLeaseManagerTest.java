package org.poplarwharf.internal.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.state.CellRecord.LeaseClaimed;

/** Checks that at most one node holds the lease, as ordered by the log. */
class CellLeaseManagerTest {
    private final CellSimulation simulation = new CellSimulation(true, 0);

    private long claimCount() {
        return simulation.log.records().stream()
                .filter(LeaseClaimed.class::isInstance)
                .count();
    }

    @Test
    void first_node_claims_the_lease_and_keeps_renewing_it() {
        CellNode node = simulation.start("a", 1);
        simulation.runUntil("the node holds the lease", node::holdsLease);
        for (int i = 0; i < 200; i++) {
            simulation.runStep();
            assertThat(node.holdsLease()).isTrue();
        }
        assertThat(claimCount()).isEqualTo(1);
    }

    @Test
    void challenger_waits_until_the_lease_of_a_dead_holder_has_expired() {
        CellNode holder = simulation.start("a", 1);
        CellNode other = simulation.start("b", 1);
        CellNode first = simulation.runUntilHeld();
        long diedMillis = simulation.nowMillis;
        simulation.kill(first);
        CellNode successor = first == holder ? other : holder;
        simulation.runUntil("the successor holds the lease", successor::holdsLease);
        assertThat(simulation.nowMillis - diedMillis).isGreaterThanOrEqualTo(CellSimulation.LEASE_MILLIS - 500);
        assertThat(successor.cell.isGranting()).isTrue();
    }

    @Test
    void resumed_holder_has_no_lease_and_stops_granting_once_it_reads_the_claim_of_a_successor() {
        CellNode holder = simulation.start("a", 1);
        simulation.runUntil("the node holds the lease", holder::holdsLease);
        holder.paused = true;
        CellNode successor = simulation.start("b", 1);
        simulation.runUntil("the successor holds the lease", successor::holdsLease);
        holder.paused = false;
        assertThat(holder.holdsLease()).isFalse();
        simulation.runSteps(2);
        assertThat(holder.cell.isGranting()).isFalse();
        assertThat(successor.holdsLease()).isTrue();
    }

    @Test
    void last_holder_keeps_granting_during_a_log_outage_but_may_not_load() {
        CellNode holder = simulation.start("a", 1);
        CellNode other = simulation.start("b", 1);
        CellNode first = simulation.runUntilHeld();
        List.of(holder, other).forEach(node -> node.stream.setDisconnected(true));
        simulation.runSteps(200);
        assertThat(first.cell.isGranting()).isTrue();
        assertThat(first.holdsLease()).isFalse();
        List.of(holder, other).forEach(node -> node.stream.setDisconnected(false));
        simulation.runSteps(20);
        assertThat(first.holdsLease()).isTrue();
        assertThat(claimCount()).isEqualTo(1);
    }

    @Test
    void successor_claims_a_released_lease_before_it_expires() {
        CellNode holder = simulation.start("a", 1);
        simulation.runUntil("the node holds the lease", holder::holdsLease);
        CellNode successor = simulation.start("b", 1);
        simulation.runStep();
        long releasedMillis = simulation.nowMillis;
        holder.cell.drain();
        simulation.runUntil("the successor holds the lease", successor::holdsLease);
        assertThat(simulation.nowMillis - releasedMillis).isLessThan(CellSimulation.LEASE_MILLIS);
    }

    @Test
    void rendezvous_ranks_are_distinct_and_spread_over_cells() {
        List<String> nodes = List.of("a", "b", "c");
        for (String cell : List.of("one", "two")) {
            assertThat(nodes.stream().map(node -> RendezvousRank.rankOf(cell, node, nodes)))
                    .containsExactlyInAnyOrder(0, 1, 2);
        }
    }
}
