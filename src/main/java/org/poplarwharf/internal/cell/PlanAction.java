package org.poplarwharf.internal.cell;

import org.poplarwharf.internal.config.FleetConfig.TargetSpec;
import org.poplarwharf.internal.state.CellStateView.Slot;

/** A step that the planner wants; the loader carries it out or drops it. Immutable and thread-safe. */
sealed interface PlanAction {
    /** Reserves a slot and loads the artifact there. */
    record Load(ReplicaShare share, TargetSpec target) implements PlanAction {}

    /** Unloads a slot; its memory counts until the engine lists it absent. */
    record Unload(Slot slot, Reason reason) implements PlanAction {}

    /** Why a slot is unloaded. */
    enum Reason {
        NOT_CONFIGURED,
        OTHER_VERSION,
        NOT_PERMITTED,
        TOO_MANY,
        IDLE,
        EVICTED
    }
}
