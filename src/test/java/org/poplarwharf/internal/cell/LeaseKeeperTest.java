package org.poplarwharf.internal.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.state.CellRecord.LeaseClaimed;

/** One holder at a time, by the log's order. */
class LeaseKeeperTest {
    private final CellWorld world = new CellWorld(true, 0);

    private long claims() {
        return world.log.records().stream()
                .filter(LeaseClaimed.class::isInstance)
                .count();
    }

    @Test
    void first_node_claims_and_keeps_renewing() {
        CellNode node = world.start("a", 1);
        world.until("held", node::holds);
        for (int i = 0; i < 200; i++) {
            world.step();
            assertThat(node.holds()).isTrue();
        }
        assertThat(claims()).isEqualTo(1);
    }

    @Test
    void challenger_waits_out_the_lease_of_a_dead_holder() {
        CellNode holder = world.start("a", 1);
        CellNode other = world.start("b", 1);
        CellNode first = world.untilHeld();
        long diedMillis = world.nowMillis;
        world.kill(first);
        CellNode successor = first == holder ? other : holder;
        world.until("taken over", successor::holds);
        assertThat(world.nowMillis - diedMillis).isGreaterThanOrEqualTo(CellWorld.LEASE_MILLIS - 500);
        assertThat(successor.cell.grants()).isTrue();
    }

    @Test
    void paused_holder_does_not_hold_on_waking_and_stops_granting_after_the_claim() {
        CellNode holder = world.start("a", 1);
        world.until("held", holder::holds);
        holder.paused = true;
        CellNode successor = world.start("b", 1);
        world.until("taken over", successor::holds);
        holder.paused = false;
        assertThat(holder.holds()).isFalse();
        world.steps(2);
        assertThat(holder.cell.grants()).isFalse();
        assertThat(successor.holds()).isTrue();
    }

    @Test
    void last_holder_grants_through_an_outage_but_may_not_load() {
        CellNode holder = world.start("a", 1);
        CellNode other = world.start("b", 1);
        CellNode first = world.untilHeld();
        List.of(holder, other).forEach(node -> node.stream.cut(true));
        world.steps(200);
        assertThat(first.cell.grants()).isTrue();
        assertThat(first.holds()).isFalse();
        List.of(holder, other).forEach(node -> node.stream.cut(false));
        world.steps(20);
        assertThat(first.holds()).isTrue();
        assertThat(claims()).isEqualTo(1);
    }

    @Test
    void release_lets_a_successor_claim_before_the_lease_ends() {
        CellNode holder = world.start("a", 1);
        world.until("held", holder::holds);
        CellNode successor = world.start("b", 1);
        world.step();
        long releasedMillis = world.nowMillis;
        holder.cell.drain();
        world.until("taken over", successor::holds);
        assertThat(world.nowMillis - releasedMillis).isLessThan(CellWorld.LEASE_MILLIS);
    }

    @Test
    void rendezvous_ranks_are_distinct_and_spread_over_cells() {
        List<String> nodes = List.of("a", "b", "c");
        for (String cell : List.of("one", "two")) {
            assertThat(nodes.stream().map(node -> RendezvousRank.of(cell, node, nodes)))
                    .containsExactlyInAnyOrder(0, 1, 2);
        }
    }
}
