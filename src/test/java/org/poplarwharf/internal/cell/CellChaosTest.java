package org.poplarwharf.internal.cell;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.poplarwharf.internal.cell.FakeEngines.Wire;

/** Whatever happens in whatever order, replicas and memory stay within their bounds. */
class CellChaosTest {
    private static final int FAULTS = 17;

    @Property(tries = 1_000, seed = "1")
    void bounds_hold_under_any_schedule_of_faults(
            @ForAll boolean fencing, @ForAll @Size(min = 20, max = 120) List<@IntRange(max = 999) Integer> choices) {
        CellWorld world = new CellWorld(fencing, 2);
        Map<String, Long> incarnations = new HashMap<>();
        for (String id : List.of("a", "b", "c")) {
            incarnations.put(id, 1L);
            world.start(id, 1);
        }
        world.untilHeld();
        for (int choice : choices) {
            fault(world, choice % FAULTS, choice / FAULTS, incarnations);
            world.steps(1 + choice % 7);
        }
        heal(world, incarnations);
    }

    /** After every node was replaced the cell serves what is configured, and no slot stays reserved. */
    private static void heal(CellWorld world, Map<String, Long> incarnations) {
        world.holdOrders = false;
        world.engines.holdReports = false;
        for (CellNode node : List.copyOf(world.nodes)) {
            restart(world, node, incarnations);
        }
        world.configure(CellWorld.model("mistral", "1", 60, 1));
        world.until(
                "healed",
                () -> world.nodes.stream()
                        .anyMatch(node -> node.holds()
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
                                        .servingReplicas(CellWorld.MISTRAL)
                                        .isEmpty()));
    }

    private static void fault(CellWorld world, int fault, int pick, Map<String, Long> incarnations) {
        CellNode node = world.nodes.get(pick % world.nodes.size());
        switch (fault) {
            case 0, 1 -> node.paused = true;
            case 2, 3 -> node.paused = false;
            case 4 -> restart(world, node, incarnations);
            case 5 -> node.stream.cut(true);
            case 6 -> world.nodes.forEach(n -> n.stream.cut(false));
            case 7 -> node.stream.loseAnswers();
            case 8 -> world.holdOrders = !world.holdOrders;
            case 9 -> world.steps(40);
            case 10 -> deliver(world, pick);
            case 11 -> loseAnswer(world, pick);
            case 12 -> world.engines.restart("t" + pick % 2);
            case 13 -> giveUp(world, pick);
            case 14 -> arriveLate(world, pick);
            case 15 -> world.engines.holdReports = !world.engines.holdReports;
            case 16 -> world.engines.releaseReports();
            default -> configure(world, pick);
        }
    }

    private static void restart(CellWorld world, CellNode node, Map<String, Long> incarnations) {
        String id = node.author.nodeId();
        world.kill(node);
        world.engines.wires.removeIf(wire -> wire.sender == node);
        world.engines.late.removeIf(wire -> wire.sender == node);
        world.start(id, incarnations.merge(id, 1L, Long::sum));
    }

    private static void deliver(CellWorld world, int pick) {
        if (!world.engines.wires.isEmpty()) {
            world.engines.deliver(world.engines.wires.get(pick % world.engines.wires.size()));
            world.check();
        }
    }

    private static void loseAnswer(CellWorld world, int pick) {
        if (!world.engines.wires.isEmpty()) {
            Wire wire = world.engines.wires.get(pick % world.engines.wires.size());
            world.engines.loseAnswer(wire, pick % 2 == 0);
            world.check();
        }
    }

    private static void giveUp(CellWorld world, int pick) {
        if (!world.engines.wires.isEmpty()) {
            world.engines.giveUp(world.engines.wires.get(pick % world.engines.wires.size()));
        }
    }

    private static void arriveLate(CellWorld world, int pick) {
        if (!world.engines.late.isEmpty()) {
            world.engines.arriveLate(world.engines.late.get(pick % world.engines.late.size()));
            world.check();
        }
    }

    private static void configure(CellWorld world, int pick) {
        switch (pick % 4) {
            case 0 -> world.configure(CellWorld.model("llama", "1", 60, 1));
            case 1 -> world.configure(CellWorld.model("llama", "2", 60, 1), CellWorld.model("mistral", "1", 60, 1));
            case 2 -> world.configure(CellWorld.model("mistral", "1", 60, 1));
            default -> world.configure();
        }
    }
}
