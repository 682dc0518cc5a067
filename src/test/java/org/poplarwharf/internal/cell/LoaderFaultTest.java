package org.poplarwharf.internal.cell;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.poplarwharf.internal.cell.FakeEngines.Wire;
import org.poplarwharf.internal.state.CellRecord.LoadIntended;
import org.poplarwharf.internal.state.CellRecord.StoodDown;
import org.poplarwharf.internal.state.CellStateView.OpenOrder;
import org.poplarwharf.internal.state.CellStateView.Phase;
import org.poplarwharf.plugins.VmList.Vm;
import org.poplarwharf.plugins.VmList.VmState;

/** A load stays exact when its holder dies or pauses at any step. */
class LoaderFaultTest {
    private static boolean intended(CellWorld world) {
        return world.log.records().stream().anyMatch(LoadIntended.class::isInstance);
    }

    private static boolean served(CellNode node) {
        return node.holds()
                && !node.cell.replicas().servingReplicas(CellWorld.LLAMA).isEmpty();
    }

    private static Wire untilOrderSent(CellWorld world) {
        world.holdOrders = true;
        world.until("an order is on its way", () -> !world.engines.wires.isEmpty());
        return world.engines.wires.get(0);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void loads_and_serves_without_faults(boolean fencing) {
        CellWorld world = new CellWorld(fencing, 2);
        CellNode node = world.start("a", 1);
        world.until("served", () -> served(node));
        assertThat(node.stream.state.slots()).hasSize(1);
        assertThat(node.stream.state.slots().iterator().next().openOrders()).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void successor_finishes_when_holder_dies_before_intent(boolean fencing) {
        CellWorld world = new CellWorld(fencing, 2);
        CellNode first = world.start("a", 1);
        CellNode second = world.start("b", 1);
        CellNode holder = world.untilHeld();
        assertThat(intended(world)).isFalse();
        world.kill(holder);
        CellNode other = holder == first ? second : first;
        world.until("served", () -> served(other));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void successor_adopts_the_slot_when_holder_dies_after_intent(boolean fencing) {
        CellWorld world = new CellWorld(fencing, 2);
        CellNode holder = world.start("a", 1);
        world.holdOrders = true;
        world.until("intent is on the log", () -> intended(world));
        world.kill(holder);
        world.engines.wires.clear();
        world.holdOrders = false;
        CellNode successor = world.start("b", 1);
        world.until("served", () -> served(successor));
        assertThat(successor.stream.state.replicas(CellWorld.LLAMA)).isEqualTo(1);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void late_order_of_a_paused_holder_adds_no_replica(boolean fencing) {
        CellWorld world = new CellWorld(fencing, 2);
        CellNode holder = world.start("a", 1);
        Wire late = untilOrderSent(world);
        holder.paused = true;
        CellNode successor = world.start("b", 1);
        world.until("taken over", successor::holds);
        world.engines.wires.remove(late);
        world.holdOrders = false;
        world.until("served", () -> served(successor));
        world.engines.deliver(late);
        world.step();
        holder.paused = false;
        world.steps(100);
        assertThat(successor.stream.state.slots()).hasSize(1);
        assertThat(successor.stream.state.slots().iterator().next().openOrders())
                .isEmpty();
    }

    @Test
    void slot_stays_reserved_while_a_paused_author_may_still_order() {
        CellWorld world = new CellWorld(false, 1);
        CellNode holder = world.start("a", 1);
        Wire late = untilOrderSent(world);
        holder.paused = true;
        CellNode successor = world.start("b", 1);
        world.until("taken over", successor::holds);
        world.engines.wires.remove(late);
        world.holdOrders = false;
        world.configure(CellWorld.model("mistral", "1", 60, 1));
        world.steps(200);
        assertThat(successor.stream.state.slot("t0", CellWorld.LLAMA))
                .get()
                .satisfies(slot -> assertThat(slot.openOrders()).isNotEmpty());
        assertThat(world.engines.holding(CellWorld.MISTRAL)).isZero();
        world.engines.deliver(late);
        holder.paused = false;
        world.until("the slot is free", () -> world.engines.holding(CellWorld.MISTRAL) == 1);
        assertThat(world.log.records()).anyMatch(StoodDown.class::isInstance);
    }

    @Test
    void restart_of_the_target_does_not_free_the_slot_of_a_paused_author() {
        CellWorld world = new CellWorld(false, 1);
        CellNode holder = world.start("a", 1);
        Wire late = untilOrderSent(world);
        holder.paused = true;
        CellNode successor = world.start("b", 1);
        world.until("taken over", successor::holds);
        world.engines.wires.remove(late);
        world.holdOrders = false;
        world.configure(CellWorld.model("mistral", "1", 60, 1));
        world.steps(50);
        world.engines.engines.get("t0").restart();
        world.steps(100);
        world.engines.deliver(late);
        world.steps(10);
        assertThat(successor.stream.state.slot("t0", CellWorld.LLAMA)).isPresent();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void slot_of_a_dead_author_is_freed_once_its_vm_is_gone(boolean fencing) {
        CellWorld world = new CellWorld(fencing, 1);
        CellNode holder = world.start("a", 1);
        CellNode successor = world.start("b", 1);
        CellNode author = untilOrderSent(world).sender;
        CellNode other = author == holder ? successor : holder;
        world.engines.wires.clear();
        world.kill(author);
        world.holdOrders = false;
        world.configure(CellWorld.model("mistral", "1", 60, 1));
        world.until("taken over", other::holds);
        world.vmList.removeIf(vm -> vm.name().equals(author.author.nodeId()));
        world.until("the slot is free", () -> world.engines.holding(CellWorld.MISTRAL) == 1);
    }

    @Test
    void holder_that_wakes_after_its_lease_sends_no_order() {
        CellWorld world = new CellWorld(false, 2);
        CellNode holder = world.start("a", 1);
        world.holdOrders = true;
        world.untilHeld();
        world.until("the intent waits to be read back", () -> {
            holder.append();
            return intended(world);
        });
        holder.paused = true;
        world.nowMillis += CellWorld.LEASE_MILLIS + 1;
        holder.paused = false;
        holder.act();
        assertThat(world.engines.wires).isEmpty();
        world.holdOrders = false;
        world.until("served", () -> served(holder));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void lost_answer_ends_in_one_loaded_replica(boolean fencing) {
        CellWorld world = new CellWorld(fencing, 2);
        CellNode holder = world.start("a", 1);
        Wire sent = untilOrderSent(world);
        world.engines.loseAnswer(sent, true);
        world.holdOrders = false;
        world.until("served", () -> served(holder));
        world.until(
                "settled",
                () -> holder.stream.state.slots().iterator().next().openOrders().isEmpty());
    }

    @Test
    void new_version_is_loaded_only_after_the_old_one_is_gone() {
        CellWorld world = new CellWorld(true, 1);
        CellNode holder = world.start("a", 1);
        world.until("served", () -> served(holder));
        world.configure(CellWorld.model("llama", "2", 60, 1));
        world.until(
                "the new version is loaded",
                () -> holder.stream
                        .state
                        .slot("t0", CellWorld.LLAMA)
                        .filter(slot -> slot.version().equals("2") && slot.phase() == Phase.LOADED)
                        .isPresent());
        assertThat(world.engines.engines.get("t0").held.get(CellWorld.LLAMA).version())
                .isEqualTo("2");
    }

    @Test
    void requests_that_an_earlier_holder_granted_keep_their_slot() {
        CellWorld world = new CellWorld(true, 1);
        CellNode holder = world.start("a", 1);
        world.until("served", () -> served(holder));
        world.engines.engines.get("t0").running = 1;
        world.kill(holder);
        CellNode successor = world.start("b", 1);
        world.configure();
        world.until("taken over", successor::holds);
        world.steps(50);
        assertThat(world.engines.holding(CellWorld.LLAMA)).isEqualTo(1);
        world.engines.engines.get("t0").running = 0;
        world.until("unloaded", () -> world.engines.holding(CellWorld.LLAMA) == 0);
    }

    @Test
    void listed_artifact_does_not_settle_an_order_that_a_second_one_followed() {
        CellWorld world = new CellWorld(false, 1);
        CellNode holder = world.start("a", 1);
        Wire first = untilOrderSent(world);
        world.engines.giveUp(first);
        world.until("the order is sent again", () -> !world.engines.wires.isEmpty());
        world.engines.deliver(world.engines.wires.get(0));
        world.steps(60);
        assertThat(holder.stream.state.slot("t0", CellWorld.LLAMA))
                .get()
                .satisfies(slot -> assertThat(slot.openOrders())
                        .extracting(OpenOrder::intentOffset)
                        .containsExactly(first.order.fencingNumber()));
    }

    @Test
    void listed_artifact_settles_the_only_order_of_the_slot() {
        CellWorld world = new CellWorld(false, 1);
        CellNode holder = world.start("a", 1);
        Wire only = untilOrderSent(world);
        world.engines.loseAnswer(only, true);
        world.until(
                "settled",
                () -> holder.stream
                        .state
                        .slot("t0", CellWorld.LLAMA)
                        .filter(slot -> slot.openOrders().isEmpty())
                        .isPresent());
    }

    @Test
    void slots_of_a_reclaimed_vm_are_retired_and_loaded_on_its_successor() {
        CellWorld world = new CellWorld(false, 1);
        CellNode holder = world.start("a", 1);
        world.until("served", () -> served(holder));
        world.replaceTargetVm("t0", "vm-new");
        world.until(
                "loaded on the new VM",
                () -> holder.stream
                        .state
                        .slot("t0", CellWorld.LLAMA)
                        .filter(slot -> slot.targetVmId().equals("vm-new") && slot.phase() == Phase.LOADED)
                        .isPresent());
    }

    @Test
    void reclaimed_vm_keeps_its_slot_while_a_paused_author_may_order_at_its_address() {
        CellWorld world = new CellWorld(false, 1);
        CellNode holder = world.start("a", 1);
        Wire late = untilOrderSent(world);
        holder.paused = true;
        CellNode successor = world.start("b", 1);
        world.until("taken over", successor::holds);
        world.engines.wires.remove(late);
        world.holdOrders = false;
        world.replaceTargetVm("t0", "vm-new");
        world.configure(CellWorld.model("mistral", "1", 60, 1));
        world.steps(200);
        world.engines.deliver(late);
        world.steps(5);
        assertThat(successor.stream.state.slot("t0", CellWorld.LLAMA)).isPresent();
        assertThat(world.engines.holding(CellWorld.MISTRAL)).isZero();
    }

    @Test
    void leaving_target_gets_no_load_and_its_replica_moves_within_the_count() {
        CellWorld world = new CellWorld(true, 2);
        CellNode holder = world.start("a", 1);
        world.until("served", () -> served(holder));
        String from = holder.stream.state.slots().iterator().next().target();
        world.vmList.replaceAll(vm ->
                vm.name().equals(from) ? new Vm(vm.vmId(), vm.name(), vm.address(), vm.zone(), VmState.LEAVING) : vm);
        world.until(
                "moved",
                () -> served(holder)
                        && !holder.stream
                                .state
                                .slots()
                                .iterator()
                                .next()
                                .target()
                                .equals(from));
    }
}
