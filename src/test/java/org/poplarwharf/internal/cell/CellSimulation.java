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

/**
 * Simulates a cell with engines and several nodes. Each step checks that replicas and memory stay within their
 * bounds.
 */
final class CellSimulation {
    static final String CELL = "c";
    static final long LEASE_MILLIS = 2_000;
    static final long KEEP_ALIVE_MILLIS = 1_000_000;
    static final long MEMORY_BYTES = 100;
    static final ArtifactId LLAMA = ArtifactId.model("llama");
    static final ArtifactId MISTRAL = ArtifactId.model("mistral");

    private static final int MAX_STEP_COUNT = 400;

    final FakeLog log = new FakeLog();
    final FakeEngines engines = new FakeEngines();
    final List<CellNode> nodes = new ArrayList<>();
    final List<Vm> vmList = new ArrayList<>();
    private final boolean fencing;
    private final int targetCount;
    FleetConfig config = FleetConfig.EMPTY;
    long nowMillis = 1_000_000;
    boolean delayOrders;

    CellSimulation(boolean fencing, int targetCount) {
        this.fencing = fencing;
        this.targetCount = targetCount;
        for (int i = 0; i < targetCount; i++) {
            engines.engines.put("t" + i, new FakeEngines.Engine(fencing));
            vmList.add(new Vm("vm-t" + i, "t" + i, "t" + i, "z", VmState.LIVE));
        }
        configure(model("llama", "1", 60, 1));
    }

    void configure(ModelSpec... models) {
        List<TargetSpec> specs = new ArrayList<>();
        for (int i = 0; i < targetCount; i++) {
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

    /** Replaces the VM of a target by another one with the same name and address. */
    void replaceTargetVm(String target, String vmId) {
        vmList.removeIf(vm -> vm.name().equals(target));
        vmList.add(new Vm(vmId, target, target, "z", VmState.LIVE));
        engines.restart(target);
    }

    /** Kills the process of a node, which also closes its connections. */
    void kill(CellNode node) {
        node.dead = true;
        nodes.remove(node);
    }

    void runStep() {
        nowMillis += 50;
        nodes.forEach(CellNode::append);
        List.copyOf(nodes).forEach(CellNode::takeTurn);
        if (!delayOrders) {
            List.copyOf(engines.pendingOrders).stream()
                    .filter(order -> order.sender.isRunning())
                    .forEach(engines::deliverOrder);
            engines.engines.values().forEach(FakeEngines.Engine::finishLoads);
        }
        checkBounds();
    }

    void runSteps(int count) {
        for (int i = 0; i < count; i++) {
            runStep();
        }
    }

    /** Runs steps until the condition holds; fails after {@link #MAX_STEP_COUNT} steps. */
    void runUntil(String description, BooleanSupplier condition) {
        for (int i = 0; i < MAX_STEP_COUNT; i++) {
            if (condition.getAsBoolean()) {
                return;
            }
            runStep();
        }
        assertThat(condition.getAsBoolean()).as(description).isTrue();
    }

    CellNode runUntilHeld() {
        runUntil("a node holds the lease", () -> nodes.stream().anyMatch(CellNode::holdsLease));
        return nodes.stream().filter(CellNode::holdsLease).findFirst().orElseThrow();
    }

    void checkBounds() {
        assertThat(nodes.stream().filter(CellNode::holdsLease).count())
                .as("number of nodes with a valid lease")
                .isLessThanOrEqualTo(1);
        engines.engines.forEach((name, engine) ->
                assertThat(engine.usedBytes()).as("memory of %s", name).isLessThanOrEqualTo(MEMORY_BYTES));
        for (ArtifactId artifact : List.of(LLAMA, MISTRAL)) {
            assertThat(engines.replicaCount(artifact))
                    .as("replicas of %s", artifact)
                    .isLessThanOrEqualTo(1);
        }
    }
}
