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
 * Everything that a plan depends on. Immutable and thread-safe.
 *
 * @param cooling slots that failed lately and are not tried again yet
 */
record PlanInput(
        FleetConfig config,
        String cell,
        List<PlanTarget> targets,
        List<Slot> slots,
        Map<ArtifactId, Demand> demand,
        Map<SlotKey, Use> uses,
        Set<SlotKey> cooling) {

    /** A target and whether it may get new work. */
    record PlanTarget(TargetSpec spec, boolean usable, boolean leaving, Set<ArtifactId> nearCopies) {}

    /** The place of an artifact on a target. */
    record SlotKey(String target, ArtifactId artifact) {
        static SlotKey of(Slot slot) {
            return new SlotKey(slot.target(), slot.artifact());
        }
    }

    /** Waiting requests for an artifact, see {@code Replicas.demand}. */
    record Demand(int waiting, int highestPriority, long earliestDeadlineMillis) {
        static final Demand NONE = new Demand(0, Integer.MIN_VALUE, Long.MAX_VALUE);
    }

    /** How a slot is used; {@code expired} tells that its keep-alive has passed. */
    record Use(int inFlight, boolean expired, double keepWorth) {
        static final Use NONE = new Use(0, false, 0);
    }

    Demand demandOf(ArtifactId artifact) {
        return demand.getOrDefault(artifact, Demand.NONE);
    }

    Use useOf(Slot slot) {
        return uses.getOrDefault(SlotKey.of(slot), Use.NONE);
    }

    int replicas(ArtifactId artifact) {
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
