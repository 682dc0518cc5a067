package org.poplarwharf.internal.cell;

import org.poplarwharf.internal.config.FleetConfig.TargetSpec;
import org.poplarwharf.internal.state.CellStateView.Slot;

/** A step requested by the planner. The runtime carries it out or drops it. Immutable and thread-safe. */
sealed interface PlanAction {
    /** Reserves a slot and loads the artifact into it. */
    record Load(ReplicaQuota quota, TargetSpec target) implements PlanAction {}

    /** Unloads a slot; its memory stays in use until the engine reports the artifact as absent. */
    record Unload(Slot slot, UnloadReason reason) implements PlanAction {}

    /** Reason for an unload. */
    enum UnloadReason {
        NOT_CONFIGURED,
        OTHER_VERSION,
        NOT_PERMITTED,
        TOO_MANY,
        IDLE,
        EVICTED
    }
}
