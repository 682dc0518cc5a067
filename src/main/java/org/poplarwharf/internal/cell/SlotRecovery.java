package org.poplarwharf.internal.cell;

import java.util.Optional;
import org.poplarwharf.internal.state.CellStateView.Slot;
import org.poplarwharf.internal.state.CellStateView.SlotPhase;
import org.poplarwharf.plugins.EngineDialect.ArtifactState;
import org.poplarwharf.plugins.EngineDialect.HeldArtifact;
import org.poplarwharf.plugins.EngineDialect.OrderKind;

/**
 * Decides whether a slot needs another order to make progress.
 *
 * <p>Invariant: never requests a second slot. A further order on the same slot is idempotent at the engine. Stateless
 * and thread-safe.
 */
final class SlotRecovery {
    /**
     * Maximum number of open orders on a slot of an engine that ignores fencing numbers; no further one is sent
     * beyond it.
     */
    static final int MAX_OPEN_ORDER_COUNT = 3;

    private SlotRecovery() {}

    /**
     * Returns the next order that the slot needs. The status must hold a report that was requested after the last
     * change of the slot.
     */
    static Optional<OrderKind> nextOrder(Slot slot, TargetStatus status) {
        Optional<HeldArtifact> held = status.heldArtifact(slot.artifact());
        if (slot.phase() == SlotPhase.UNLOADING) {
            boolean listed =
                    held.filter(h -> h.state() != ArtifactState.UNLOADING).isPresent();
            return listed || needsHigherFencingNumber(slot) ? withinLimit(slot, OrderKind.UNLOAD) : Optional.empty();
        }
        if (slot.openOrders().isEmpty()) {
            return Optional.empty();
        }
        boolean wantsLoad = slot.phase() == SlotPhase.INTENDED && held.isEmpty();
        return wantsLoad || needsHigherFencingNumber(slot) ? withinLimit(slot, OrderKind.LOAD) : Optional.empty();
    }

    private static boolean needsHigherFencingNumber(Slot slot) {
        return slot.fencing() && !slot.openOrders().isEmpty();
    }

    private static Optional<OrderKind> withinLimit(Slot slot, OrderKind kind) {
        boolean belowLimit = slot.fencing() || slot.openOrders().size() < MAX_OPEN_ORDER_COUNT;
        return belowLimit ? Optional.of(kind) : Optional.empty();
    }
}
