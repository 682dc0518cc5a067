package org.poplarwharf.internal.cell;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.poplarwharf.internal.cell.FakeEngines.PendingOrder;
import org.poplarwharf.internal.state.CellRecord.AuthorSteppedDown;
import org.poplarwharf.internal.state.CellRecord.LoadIntended;
import org.poplarwharf.internal.state.CellStateView.OpenOrder;
import org.poplarwharf.internal.state.CellStateView.SlotPhase;
import org.poplarwharf.plugins.VmList.Vm;
import org.poplarwharf.plugins.VmList.VmState;

/** Checks that loads create neither too many nor too few replicas when the holder dies or pauses at any step. */
class OrderExecutorFaultTest {
    private static boolean hasLoadIntent(CellSimulation simulation) {
        return simulation.log.records().stream().anyMatch(LoadIntended.class::isInstance);
    }

    private static boolean isServing(CellNode node) {
        return node.holdsLease()
                && !node.cell.replicas().servingReplicas(CellSimulation.LLAMA).isEmpty();
    }

    private static PendingOrder runUntilOrderSent(CellSimulation simulation) {
        simulation.delayOrders = true;
        simulation.runUntil("an order is in flight", () -> !simulation.engines.pendingOrders.isEmpty());
        return simulation.engines.pendingOrders.get(0);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void loads_and_serves_without_faults(boolean fencing) {
        CellSimulation simulation = new CellSimulation(fencing, 2);
        CellNode node = simulation.start("a", 1);
        simulation.runUntil("the model is served", () -> isServing(node));
        assertThat(node.stream.state.slots()).hasSize(1);
        assertThat(node.stream.state.slots().iterator().next().openOrders()).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void successor_loads_when_holder_dies_before_intent(boolean fencing) {
        CellSimulation simulation = new CellSimulation(fencing, 2);
        CellNode first = simulation.start("a", 1);
        CellNode second = simulation.start("b", 1);
        CellNode holder = simulation.runUntilHeld();
        assertThat(hasLoadIntent(simulation)).isFalse();
        simulation.kill(holder);
        CellNode other = holder == first ? second : first;
        simulation.runUntil("the model is served", () -> isServing(other));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void successor_takes_over_the_slot_when_holder_dies_after_intent(boolean fencing) {
        CellSimulation simulation = new CellSimulation(fencing, 2);
        CellNode holder = simulation.start("a", 1);
        simulation.delayOrders = true;
        simulation.runUntil("intent is on the log", () -> hasLoadIntent(simulation));
        simulation.kill(holder);
        simulation.engines.pendingOrders.clear();
        simulation.delayOrders = false;
        CellNode successor = simulation.start("b", 1);
        simulation.runUntil("the model is served", () -> isServing(successor));
        assertThat(successor.stream.state.replicaCount(CellSimulation.LLAMA)).isEqualTo(1);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void late_order_of_a_paused_holder_adds_no_replica(boolean fencing) {
        CellSimulation simulation = new CellSimulation(fencing, 2);
        CellNode holder = simulation.start("a", 1);
        PendingOrder lateOrder = runUntilOrderSent(simulation);
        holder.paused = true;
        CellNode successor = simulation.start("b", 1);
        simulation.runUntil("the successor holds the lease", successor::holdsLease);
        simulation.engines.pendingOrders.remove(lateOrder);
        simulation.delayOrders = false;
        simulation.runUntil("the model is served", () -> isServing(successor));
        simulation.engines.deliverOrder(lateOrder);
        simulation.runStep();
        holder.paused = false;
        simulation.runSteps(100);
        assertThat(successor.stream.state.slots()).hasSize(1);
        assertThat(successor.stream.state.slots().iterator().next().openOrders())
                .isEmpty();
    }

    @Test
    void slot_stays_reserved_while_a_paused_author_may_still_send_an_order() {
        CellSimulation simulation = new CellSimulation(false, 1);
        CellNode holder = simulation.start("a", 1);
        PendingOrder lateOrder = runUntilOrderSent(simulation);
        holder.paused = true;
        CellNode successor = simulation.start("b", 1);
        simulation.runUntil("the successor holds the lease", successor::holdsLease);
        simulation.engines.pendingOrders.remove(lateOrder);
        simulation.delayOrders = false;
        simulation.configure(CellSimulation.model("mistral", "1", 60, 1));
        simulation.runSteps(200);
        assertThat(successor.stream.state.slot("t0", CellSimulation.LLAMA))
                .get()
                .satisfies(slot -> assertThat(slot.openOrders()).isNotEmpty());
        assertThat(simulation.engines.replicaCount(CellSimulation.MISTRAL)).isZero();
        simulation.engines.deliverOrder(lateOrder);
        holder.paused = false;
        simulation.runUntil("the slot is free", () -> simulation.engines.replicaCount(CellSimulation.MISTRAL) == 1);
        assertThat(simulation.log.records()).anyMatch(AuthorSteppedDown.class::isInstance);
    }

    @Test
    void restart_of_the_target_does_not_free_the_slot_of_a_paused_author() {
        CellSimulation simulation = new CellSimulation(false, 1);
        CellNode holder = simulation.start("a", 1);
        PendingOrder lateOrder = runUntilOrderSent(simulation);
        holder.paused = true;
        CellNode successor = simulation.start("b", 1);
        simulation.runUntil("the successor holds the lease", successor::holdsLease);
        simulation.engines.pendingOrders.remove(lateOrder);
        simulation.delayOrders = false;
        simulation.configure(CellSimulation.model("mistral", "1", 60, 1));
        simulation.runSteps(50);
        simulation.engines.engines.get("t0").restart();
        simulation.runSteps(100);
        simulation.engines.deliverOrder(lateOrder);
        simulation.runSteps(10);
        assertThat(successor.stream.state.slot("t0", CellSimulation.LLAMA)).isPresent();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void slot_of_a_dead_author_is_freed_once_its_vm_is_gone(boolean fencing) {
        CellSimulation simulation = new CellSimulation(fencing, 1);
        CellNode holder = simulation.start("a", 1);
        CellNode successor = simulation.start("b", 1);
        CellNode author = runUntilOrderSent(simulation).sender;
        CellNode other = author == holder ? successor : holder;
        simulation.engines.pendingOrders.clear();
        simulation.kill(author);
        simulation.delayOrders = false;
        simulation.configure(CellSimulation.model("mistral", "1", 60, 1));
        simulation.runUntil("the successor holds the lease", other::holdsLease);
        simulation.vmList.removeIf(vm -> vm.name().equals(author.author.nodeId()));
        simulation.runUntil("the slot is free", () -> simulation.engines.replicaCount(CellSimulation.MISTRAL) == 1);
    }

    @Test
    void holder_that_resumes_after_its_lease_expired_sends_no_order() {
        CellSimulation simulation = new CellSimulation(false, 2);
        CellNode holder = simulation.start("a", 1);
        simulation.delayOrders = true;
        simulation.runUntilHeld();
        simulation.runUntil("the intent waits to be read back", () -> {
            holder.append();
            return hasLoadIntent(simulation);
        });
        holder.paused = true;
        simulation.nowMillis += CellSimulation.LEASE_MILLIS + 1;
        holder.paused = false;
        holder.takeTurn();
        assertThat(simulation.engines.pendingOrders).isEmpty();
        simulation.delayOrders = false;
        simulation.runUntil("the model is served", () -> isServing(holder));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void lost_reply_results_in_exactly_one_replica(boolean fencing) {
        CellSimulation simulation = new CellSimulation(fencing, 2);
        CellNode holder = simulation.start("a", 1);
        PendingOrder sentOrder = runUntilOrderSent(simulation);
        simulation.engines.loseReply(sentOrder, true);
        simulation.delayOrders = false;
        simulation.runUntil("the model is served", () -> isServing(holder));
        simulation.runUntil(
                "the order is settled",
                () -> holder.stream.state.slots().iterator().next().openOrders().isEmpty());
    }

    @Test
    void new_version_is_loaded_only_after_the_old_one_is_gone() {
        CellSimulation simulation = new CellSimulation(true, 1);
        CellNode holder = simulation.start("a", 1);
        simulation.runUntil("the model is served", () -> isServing(holder));
        simulation.configure(CellSimulation.model("llama", "2", 60, 1));
        simulation.runUntil(
                "the new version is loaded",
                () -> holder.stream
                        .state
                        .slot("t0", CellSimulation.LLAMA)
                        .filter(slot -> slot.version().equals("2") && slot.phase() == SlotPhase.LOADED)
                        .isPresent());
        assertThat(simulation
                        .engines
                        .engines
                        .get("t0")
                        .held
                        .get(CellSimulation.LLAMA)
                        .version())
                .isEqualTo("2");
    }

    @Test
    void slot_with_requests_granted_by_an_earlier_holder_is_not_unloaded() {
        CellSimulation simulation = new CellSimulation(true, 1);
        CellNode holder = simulation.start("a", 1);
        simulation.runUntil("the model is served", () -> isServing(holder));
        simulation.engines.engines.get("t0").runningRequestCount = 1;
        simulation.kill(holder);
        CellNode successor = simulation.start("b", 1);
        simulation.configure();
        simulation.runUntil("the successor holds the lease", successor::holdsLease);
        simulation.runSteps(50);
        assertThat(simulation.engines.replicaCount(CellSimulation.LLAMA)).isEqualTo(1);
        simulation.engines.engines.get("t0").runningRequestCount = 0;
        simulation.runUntil("the model is unloaded", () -> simulation.engines.replicaCount(CellSimulation.LLAMA) == 0);
    }

    @Test
    void reported_artifact_does_not_settle_an_order_that_was_followed_by_a_second_one() {
        CellSimulation simulation = new CellSimulation(false, 1);
        CellNode holder = simulation.start("a", 1);
        PendingOrder first = runUntilOrderSent(simulation);
        simulation.engines.closeConnection(first);
        simulation.runUntil("the order is sent again", () -> !simulation.engines.pendingOrders.isEmpty());
        simulation.engines.deliverOrder(simulation.engines.pendingOrders.get(0));
        simulation.runSteps(60);
        assertThat(holder.stream.state.slot("t0", CellSimulation.LLAMA))
                .get()
                .satisfies(slot -> assertThat(slot.openOrders())
                        .extracting(OpenOrder::intentOffset)
                        .containsExactly(first.order.fencingNumber()));
    }

    @Test
    void reported_artifact_settles_the_only_order_of_the_slot() {
        CellSimulation simulation = new CellSimulation(false, 1);
        CellNode holder = simulation.start("a", 1);
        PendingOrder only = runUntilOrderSent(simulation);
        simulation.engines.loseReply(only, true);
        simulation.runUntil(
                "the order is settled",
                () -> holder.stream
                        .state
                        .slot("t0", CellSimulation.LLAMA)
                        .filter(slot -> slot.openOrders().isEmpty())
                        .isPresent());
    }

    @Test
    void slots_of_a_reclaimed_vm_are_retired_and_loaded_on_its_successor() {
        CellSimulation simulation = new CellSimulation(false, 1);
        CellNode holder = simulation.start("a", 1);
        simulation.runUntil("the model is served", () -> isServing(holder));
        simulation.replaceTargetVm("t0", "vm-new");
        simulation.runUntil(
                "loaded on the new VM",
                () -> holder.stream
                        .state
                        .slot("t0", CellSimulation.LLAMA)
                        .filter(slot -> slot.targetVmId().equals("vm-new") && slot.phase() == SlotPhase.LOADED)
                        .isPresent());
    }

    @Test
    void slot_of_a_reclaimed_vm_is_kept_while_a_paused_author_may_send_an_order_to_its_address() {
        CellSimulation simulation = new CellSimulation(false, 1);
        CellNode holder = simulation.start("a", 1);
        PendingOrder lateOrder = runUntilOrderSent(simulation);
        holder.paused = true;
        CellNode successor = simulation.start("b", 1);
        simulation.runUntil("the successor holds the lease", successor::holdsLease);
        simulation.engines.pendingOrders.remove(lateOrder);
        simulation.delayOrders = false;
        simulation.replaceTargetVm("t0", "vm-new");
        simulation.configure(CellSimulation.model("mistral", "1", 60, 1));
        simulation.runSteps(200);
        simulation.engines.deliverOrder(lateOrder);
        simulation.runSteps(5);
        assertThat(successor.stream.state.slot("t0", CellSimulation.LLAMA)).isPresent();
        assertThat(simulation.engines.replicaCount(CellSimulation.MISTRAL)).isZero();
    }

    @Test
    void replica_moves_off_a_leaving_target_within_the_configured_count() {
        CellSimulation simulation = new CellSimulation(true, 2);
        CellNode holder = simulation.start("a", 1);
        simulation.runUntil("the model is served", () -> isServing(holder));
        String from = holder.stream.state.slots().iterator().next().target();
        simulation.vmList.replaceAll(vm ->
                vm.name().equals(from) ? new Vm(vm.vmId(), vm.name(), vm.address(), vm.zone(), VmState.LEAVING) : vm);
        simulation.runUntil(
                "the replica has moved",
                () -> isServing(holder)
                        && !holder.stream
                                .state
                                .slots()
                                .iterator()
                                .next()
                                .target()
                                .equals(from));
    }
}
