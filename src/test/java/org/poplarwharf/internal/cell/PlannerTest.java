package org.poplarwharf.internal.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.cell.PlanAction.Load;
import org.poplarwharf.internal.cell.PlanAction.Unload;
import org.poplarwharf.internal.cell.PlanInput.ArtifactDemand;
import org.poplarwharf.internal.cell.PlanInput.PlanTarget;
import org.poplarwharf.internal.cell.PlanInput.SlotKey;
import org.poplarwharf.internal.cell.PlanInput.SlotUsage;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.internal.config.FleetConfig.AdapterSpec;
import org.poplarwharf.internal.config.FleetConfig.CellSpec;
import org.poplarwharf.internal.config.FleetConfig.ModelSpec;
import org.poplarwharf.internal.config.FleetConfig.TargetKind;
import org.poplarwharf.internal.config.FleetConfig.TargetSpec;
import org.poplarwharf.internal.state.CellStateView.Slot;
import org.poplarwharf.internal.state.CellStateView.SlotPhase;
import org.poplarwharf.plugins.ArtifactId;

/** Checks that plans stay within memory and replica limits for any state, demand and usage. */
class PlannerTest {
    private static final String CELL = "c";
    private static final ArtifactId M0 = ArtifactId.model("m0");
    private static final ArtifactId M1 = ArtifactId.model("m1");

    @Property(tries = 1_000, seed = "1")
    void plans_stay_within_memory_and_replica_limits(@ForAll long seed) {
        PlanInput input = randomInput(new Random(seed));
        Map<String, Long> bytes = new HashMap<>();
        Map<ArtifactId, Integer> replicas = new HashMap<>();
        Set<SlotKey> keys = new HashSet<>();
        for (Slot slot : input.slots()) {
            bytes.merge(slot.target(), slot.sizeBytes(), Long::sum);
            replicas.merge(slot.artifact(), 1, Integer::sum);
            keys.add(SlotKey.of(slot));
        }
        for (PlanAction action : Planner.plan(input)) {
            switch (action) {
                case Unload unload ->
                    assertThat(input.usageOf(unload.slot()).inFlightCount()).isZero();
                case Load load -> {
                    ReplicaQuota quota = load.quota();
                    String target = load.target().name();
                    assertThat(keys.add(new SlotKey(target, quota.artifact()))).isTrue();
                    assertThat(bytes.merge(target, quota.sizeBytes(), Long::sum))
                            .isLessThanOrEqualTo(load.target().memoryBytes());
                    assertThat(replicas.merge(quota.artifact(), 1, Integer::sum))
                            .isLessThanOrEqualTo(quota.limit());
                    assertThat(ReplicaQuota.permits(quota.model(), load.target()))
                            .isTrue();
                    assertThat(input.target(target).orElseThrow().usable()).isTrue();
                }
            }
        }
    }

    @Property(tries = 300, seed = "1")
    void quotas_of_all_cells_add_up_to_the_configured_count(@ForAll long seed) {
        Random random = new Random(seed);
        List<CellSpec> cells = List.of(new CellSpec("x", List.of("zx")), new CellSpec("y", List.of("zy", "zz")));
        List<TargetSpec> targets = new ArrayList<>();
        for (int i = 0; i < 1 + random.nextInt(9); i++) {
            targets.add(target("t" + i, List.of("zx", "zy", "zz").get(random.nextInt(3)), 100));
        }
        ModelSpec model = model("m0", 10, random.nextInt(12), 0, List.of());
        FleetConfig config = config(cells, targets, List.of(model));
        int sum = cells.stream()
                .mapToInt(cell ->
                        ReplicaQuota.of(config, M0, cell.name()).orElseThrow().limit())
                .sum();
        assertThat(sum).isEqualTo(model.replicas());
    }

    @Test
    void idle_slot_is_evicted_for_demand_and_busy_slot_is_not() {
        FleetConfig config = config(
                List.of(new CellSpec(CELL, List.of("z"))),
                List.of(target("t0", "z", 100)),
                List.of(model("m0", 80, 1, 0, List.of()), model("m1", 80, 1, 0, List.of())));
        Slot slot = slot("t0", M0, 80, SlotPhase.LOADED);
        PlanInput idle = input(config, List.of(slot), Map.of(M1, new ArtifactDemand(1, 1, 1)), Map.of());
        assertThat(Planner.plan(idle)).containsExactly(new Unload(slot, PlanAction.UnloadReason.EVICTED));
        Map<SlotKey, SlotUsage> busy = Map.of(SlotKey.of(slot), new SlotUsage(1, false, 0));
        assertThat(Planner.plan(input(config, List.of(slot), Map.of(M1, new ArtifactDemand(1, 1, 1)), busy)))
                .isEmpty();
    }

    @Test
    void demand_for_an_adapter_loads_its_base_first() {
        ModelSpec model = model("m0", 50, 1, 0, List.of(new AdapterSpec("a", "1", 10, 1)));
        FleetConfig config =
                config(List.of(new CellSpec(CELL, List.of("z"))), List.of(target("t0", "z", 100)), List.of(model));
        ArtifactId adapter = ArtifactId.adapter("m0", "a");
        Map<ArtifactId, ArtifactDemand> demand = Map.of(adapter, new ArtifactDemand(1, 1, 1));
        assertThat(plannedLoads(input(config, List.of(), demand, Map.of()))).containsExactly(M0);
        List<Slot> loading = List.of(slot("t0", M0, 50, SlotPhase.INTENDED));
        assertThat(plannedLoads(input(config, loading, demand, Map.of()))).isEmpty();
        List<Slot> loaded = List.of(slot("t0", M0, 50, SlotPhase.LOADED));
        assertThat(plannedLoads(input(config, loaded, demand, Map.of()))).containsExactly(adapter);
    }

    private static List<ArtifactId> plannedLoads(PlanInput input) {
        return Planner.plan(input).stream()
                .filter(Load.class::isInstance)
                .map(action -> ((Load) action).quota().artifact())
                .toList();
    }

    private static PlanInput randomInput(Random random) {
        List<TargetSpec> targets = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            targets.add(target("t" + i, random.nextBoolean() ? "z" : "y", 100));
        }
        List<ModelSpec> models = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            List<AdapterSpec> adapters = List.of(new AdapterSpec("a", "1", 1 + random.nextInt(20), random.nextInt(3)));
            models.add(model("m" + i, 10 + random.nextInt(70), random.nextInt(4), random.nextInt(2), adapters));
        }
        FleetConfig config = config(List.of(new CellSpec(CELL, List.of("z", "y"))), targets, models);
        List<Slot> slots = new ArrayList<>();
        Map<SlotKey, SlotUsage> usage = new HashMap<>();
        Map<ArtifactId, ArtifactDemand> demand = new HashMap<>();
        for (ModelSpec model : models) {
            ArtifactId artifact = ArtifactId.model(model.name());
            for (TargetSpec target : targets) {
                if (random.nextInt(4) == 0) {
                    SlotPhase phase = SlotPhase.values()[random.nextInt(3)];
                    slots.add(slot(target.name(), artifact, 10 + random.nextInt(40), phase));
                    usage.put(
                            new SlotKey(target.name(), artifact),
                            new SlotUsage(random.nextInt(2), random.nextBoolean(), random.nextInt(9)));
                }
            }
            if (random.nextBoolean()) {
                demand.put(artifact, new ArtifactDemand(random.nextInt(5), random.nextInt(3), random.nextInt(99)));
                demand.put(ArtifactId.adapter(model.name(), "a"), new ArtifactDemand(random.nextInt(5), 1, 5));
            }
        }
        return input(config, slots, demand, usage);
    }

    private static PlanInput input(
            FleetConfig config,
            List<Slot> slots,
            Map<ArtifactId, ArtifactDemand> demand,
            Map<SlotKey, SlotUsage> usage) {
        List<PlanTarget> targets = config.targets().stream()
                .map(spec -> new PlanTarget(spec, !spec.name().equals("t2"), false, Set.of()))
                .toList();
        return new PlanInput(config, CELL, targets, slots, demand, usage, Set.of());
    }

    private static FleetConfig config(List<CellSpec> cells, List<TargetSpec> targets, List<ModelSpec> models) {
        return new FleetConfig(1, cells, targets, models, List.of(), List.of(), List.of());
    }

    private static TargetSpec target(String name, String zone, long memoryBytes) {
        return new TargetSpec(name, TargetKind.ENGINE, name, zone, memoryBytes, 4, false, 1);
    }

    private static ModelSpec model(
            String name, long sizeBytes, int replicas, int minReplicas, List<AdapterSpec> adapters) {
        return new ModelSpec(
                name, "1", sizeBytes, replicas, minReplicas, 1, List.of(), List.of(), adapters, OptionalLong.empty());
    }

    private static Slot slot(String target, ArtifactId artifact, long sizeBytes, SlotPhase phase) {
        return new Slot(target, "vm-" + target, artifact, "1", sizeBytes, false, phase, List.of());
    }
}
