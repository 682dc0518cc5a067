package org.poplarwharf.internal.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.internal.config.FleetConfig.CellSpec;
import org.poplarwharf.internal.config.FleetConfig.ModelSpec;
import org.poplarwharf.internal.config.FleetConfig.TargetKind;
import org.poplarwharf.internal.config.FleetConfig.TargetSpec;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.VmList.Vm;
import org.poplarwharf.plugins.VmList.VmState;

/** A cell with two engines and some nodes; each step checks that replicas and memory are within their bounds. */
final class CellWorld {
    static final String CELL = "c";
    static final long LEASE_MILLIS = 2_000;
    static final long KEEP_ALIVE_MILLIS = 1_000_000;
    static final long MEMORY_BYTES = 100;
    static final ArtifactId LLAMA = ArtifactId.model("llama");
    static final ArtifactId MISTRAL = ArtifactId.model("mistral");

    private static final int MAX_STEPS = 400;

    final FakeLog log = new FakeLog();
    final FakeEngines engines = new FakeEngines();
    final List<CellNode> nodes = new ArrayList<>();
    final List<Vm> vmList = new ArrayList<>();
    private final boolean fencing;
    private final int targets;
    FleetConfig config = FleetConfig.EMPTY;
    long nowMillis = 1_000_000;
    boolean holdOrders;

    CellWorld(boolean fencing, int targets) {
        this.fencing = fencing;
        this.targets = targets;
        for (int i = 0; i < targets; i++) {
            engines.engines.put("t" + i, new FakeEngines.Engine(fencing));
            vmList.add(new Vm("vm-t" + i, "t" + i, "t" + i, "z", VmState.LIVE));
        }
        configure(model("llama", "1", 60, 1));
    }

    void configure(ModelSpec... models) {
        List<TargetSpec> specs = new ArrayList<>();
        for (int i = 0; i < targets; i++) {
            specs.add(new TargetSpec("t" + i, TargetKind.ENGINE, "t" + i, "z", MEMORY_BYTES, 4, fencing, 1));
        }
        config = new FleetConfig(
                config.version() + 1,
                List.of(new CellSpec(CELL, List.of("z"))),
                specs,
                List.of(models),
                List.of(),
                List.of(),
                List.of());
    }

    static ModelSpec model(String name, String version, long sizeBytes, int replicas) {
        return new ModelSpec(
                name, version, sizeBytes, replicas, replicas, 1, List.of(), List.of(), List.of(), OptionalLong.empty());
    }

    CellNode start(String nodeId, long incarnation) {
        vmList.removeIf(vm -> vm.name().equals(nodeId));
        vmList.add(new Vm("vm-" + nodeId + incarnation, nodeId, nodeId, "z", VmState.LIVE));
        CellNode node = new CellNode(this, nodeId, incarnation);
        nodes.add(node);
        return node;
    }

    /** The VM of a target goes and another comes under the same name and address. */
    void replaceTargetVm(String target, String vmId) {
        vmList.removeIf(vm -> vm.name().equals(target));
        vmList.add(new Vm(vmId, target, target, "z", VmState.LIVE));
        engines.restart(target);
    }

    /** Kills a node's process; its connections end with it. */
    void kill(CellNode node) {
        node.dead = true;
        nodes.remove(node);
    }

    void step() {
        nowMillis += 50;
        nodes.forEach(CellNode::append);
        List.copyOf(nodes).forEach(CellNode::act);
        if (!holdOrders) {
            List.copyOf(engines.wires).stream().filter(w -> w.sender.runs()).forEach(engines::deliver);
            engines.engines.values().forEach(FakeEngines.Engine::finishLoads);
        }
        check();
    }

    void steps(int count) {
        for (int i = 0; i < count; i++) {
            step();
        }
    }

    void until(String what, BooleanSupplier condition) {
        for (int i = 0; i < MAX_STEPS; i++) {
            if (condition.getAsBoolean()) {
                return;
            }
            step();
        }
        assertThat(condition.getAsBoolean()).as(what).isTrue();
    }

    CellNode untilHeld() {
        until("a node holds the lease", () -> nodes.stream().anyMatch(CellNode::holds));
        return nodes.stream().filter(CellNode::holds).findFirst().orElseThrow();
    }

    void check() {
        assertThat(nodes.stream().filter(CellNode::holds).count())
                .as("holders that may act")
                .isLessThanOrEqualTo(1);
        engines.engines.forEach((name, engine) ->
                assertThat(engine.usedBytes()).as("memory of %s", name).isLessThanOrEqualTo(MEMORY_BYTES));
        for (ArtifactId artifact : List.of(LLAMA, MISTRAL)) {
            assertThat(engines.holding(artifact)).as("replicas of %s", artifact).isLessThanOrEqualTo(1);
        }
    }
}
