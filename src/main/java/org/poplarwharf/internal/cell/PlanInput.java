package org.poplarwharf.internal.cell;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.internal.config.FleetConfig.TargetSpec;
import org.poplarwharf.internal.state.CellStateView.Slot;
import org.poplarwharf.plugins.ArtifactId;

/**
 * The complete input of a plan. Immutable and thread-safe.
 *
 * @param coolingDown slots whose load failed recently and is not retried yet
 */
record PlanInput(
        FleetConfig config,
        String cell,
        List<PlanTarget> targets,
        List<Slot> slots,
        Map<ArtifactId, ArtifactDemand> demand,
        Map<SlotKey, SlotUsage> usage,
        Set<SlotKey> coolingDown) {

    /** A target and whether it can get new work. */
    record PlanTarget(TargetSpec spec, boolean usable, boolean leaving, Set<ArtifactId> nearCopies) {}

    /** Identifies the slot of an artifact on a target. */
    record SlotKey(String target, ArtifactId artifact) {
        static SlotKey of(Slot slot) {
            return new SlotKey(slot.target(), slot.artifact());
        }
    }

    /** The requests waiting for an artifact, see {@code ReplicaPool.demand}. */
    record ArtifactDemand(int waitingCount, int highestPriority, long earliestDeadlineMillis) {
        static final ArtifactDemand NONE = new ArtifactDemand(0, Integer.MIN_VALUE, Long.MAX_VALUE);
    }

    /** Usage of a slot; {@code keepAliveExpired} is true once its keep-alive has passed. */
    record SlotUsage(int inFlightCount, boolean keepAliveExpired, double retentionValue) {
        static final SlotUsage NONE = new SlotUsage(0, false, 0);
    }

    ArtifactDemand demandOf(ArtifactId artifact) {
        return demand.getOrDefault(artifact, ArtifactDemand.NONE);
    }

    SlotUsage usageOf(Slot slot) {
        return usage.getOrDefault(SlotKey.of(slot), SlotUsage.NONE);
    }

    int replicaCount(ArtifactId artifact) {
        return (int)
                slots.stream().filter(slot -> slot.artifact().equals(artifact)).count();
    }

    Optional<Slot> slot(String target, ArtifactId artifact) {
        return slots.stream()
                .filter(slot -> slot.target().equals(target) && slot.artifact().equals(artifact))
                .findFirst();
    }

    Optional<PlanTarget> target(String name) {
        return targets.stream().filter(t -> t.spec().name().equals(name)).findFirst();
    }
}
