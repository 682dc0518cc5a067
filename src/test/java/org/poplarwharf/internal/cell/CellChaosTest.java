package org.poplarwharf.internal.cell;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.poplarwharf.internal.cell.FakeEngines.PendingOrder;

/** Checks that replicas and memory stay within their bounds under random sequences of faults. */
class CellChaosTest {
    private static final int FAULT_COUNT = 17;

    @Property(tries = 1_000, seed = "1")
    void bounds_hold_under_any_sequence_of_faults(
            @ForAll boolean fencing, @ForAll @Size(min = 20, max = 120) List<@IntRange(max = 999) Integer> choices) {
        CellSimulation simulation = new CellSimulation(fencing, 2);
        Map<String, Long> incarnations = new HashMap<>();
        for (String id : List.of("a", "b", "c")) {
            incarnations.put(id, 1L);
            simulation.start(id, 1);
        }
        simulation.runUntilHeld();
        for (int choice : choices) {
            injectFault(simulation, choice % FAULT_COUNT, choice / FAULT_COUNT, incarnations);
            simulation.runSteps(1 + choice % 7);
        }
        restartAllAndCheckRecovery(simulation, incarnations);
    }

    /** Restarts every node and checks that the cell then serves what is configured and that no order stays open. */
    private static void restartAllAndCheckRecovery(CellSimulation simulation, Map<String, Long> incarnations) {
        simulation.delayOrders = false;
        simulation.engines.delayReports = false;
        for (CellNode node : List.copyOf(simulation.nodes)) {
            restart(simulation, node, incarnations);
        }
        simulation.configure(CellSimulation.model("mistral", "1", 60, 1));
        simulation.runUntil(
                "the cell has recovered",
                () -> simulation.nodes.stream()
                        .anyMatch(node -> node.holdsLease()
                                && node.stream.state.slots().size() == 1
                                && node.stream
                                        .state
                                        .slots()
                                        .iterator()
                                        .next()
                                        .openOrders()
                                        .isEmpty()
                                && !node.cell
                                        .replicas()
                                        .servingReplicas(CellSimulation.MISTRAL)
                                        .isEmpty()));
    }

    private static void injectFault(CellSimulation simulation, int fault, int pick, Map<String, Long> incarnations) {
        CellNode node = simulation.nodes.get(pick % simulation.nodes.size());
        switch (fault) {
            case 0, 1 -> node.paused = true;
            case 2, 3 -> node.paused = false;
            case 4 -> restart(simulation, node, incarnations);
            case 5 -> node.stream.setDisconnected(true);
            case 6 -> simulation.nodes.forEach(n -> n.stream.setDisconnected(false));
            case 7 -> node.stream.failPendingCommits();
            case 8 -> simulation.delayOrders = !simulation.delayOrders;
            case 9 -> simulation.runSteps(40);
            case 10 -> deliverOrder(simulation, pick);
            case 11 -> loseReply(simulation, pick);
            case 12 -> simulation.engines.restart("t" + pick % 2);
            case 13 -> closeConnection(simulation, pick);
            case 14 -> deliverLateOrder(simulation, pick);
            case 15 -> simulation.engines.delayReports = !simulation.engines.delayReports;
            case 16 -> simulation.engines.deliverDelayedReports();
            default -> configure(simulation, pick);
        }
    }

    private static void restart(CellSimulation simulation, CellNode node, Map<String, Long> incarnations) {
        String id = node.author.nodeId();
        simulation.kill(node);
        simulation.engines.pendingOrders.removeIf(order -> order.sender == node);
        simulation.engines.lateOrders.removeIf(order -> order.sender == node);
        simulation.start(id, incarnations.merge(id, 1L, Long::sum));
    }

    private static void deliverOrder(CellSimulation simulation, int pick) {
        if (!simulation.engines.pendingOrders.isEmpty()) {
            simulation.engines.deliverOrder(
                    simulation.engines.pendingOrders.get(pick % simulation.engines.pendingOrders.size()));
            simulation.checkBounds();
        }
    }

    private static void loseReply(CellSimulation simulation, int pick) {
        if (!simulation.engines.pendingOrders.isEmpty()) {
            PendingOrder order = simulation.engines.pendingOrders.get(pick % simulation.engines.pendingOrders.size());
            simulation.engines.loseReply(order, pick % 2 == 0);
            simulation.checkBounds();
        }
    }

    private static void closeConnection(CellSimulation simulation, int pick) {
        if (!simulation.engines.pendingOrders.isEmpty()) {
            simulation.engines.closeConnection(
                    simulation.engines.pendingOrders.get(pick % simulation.engines.pendingOrders.size()));
        }
    }

    private static void deliverLateOrder(CellSimulation simulation, int pick) {
        if (!simulation.engines.lateOrders.isEmpty()) {
            simulation.engines.deliverLateOrder(
                    simulation.engines.lateOrders.get(pick % simulation.engines.lateOrders.size()));
            simulation.checkBounds();
        }
    }

    private static void configure(CellSimulation simulation, int pick) {
        switch (pick % 4) {
            case 0 -> simulation.configure(CellSimulation.model("llama", "1", 60, 1));
            case 1 ->
                simulation.configure(
                        CellSimulation.model("llama", "2", 60, 1), CellSimulation.model("mistral", "1", 60, 1));
            case 2 -> simulation.configure(CellSimulation.model("mistral", "1", 60, 1));
            default -> simulation.configure();
        }
    }
}
