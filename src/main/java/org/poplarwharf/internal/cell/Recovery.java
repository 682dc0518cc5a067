package org.poplarwharf.internal.cell;

import java.util.Optional;
import org.poplarwharf.internal.state.CellStateView.Phase;
import org.poplarwharf.internal.state.CellStateView.Slot;
import org.poplarwharf.plugins.EngineDialect.ArtifactState;
import org.poplarwharf.plugins.EngineDialect.Held;
import org.poplarwharf.plugins.EngineDialect.OrderKind;

/**
 * Decides whether a slot needs a further order to make progress.
 *
 * <p>Invariant: it never asks for a second slot; a further order on the same slot is idempotent at the engine. Stateless
 * and thread-safe.
 */
final class Recovery {
    /** Open orders on a slot of an engine that ignores fencing numbers, above which no further one is sent. */
    static final int MAX_OPEN_ORDERS = 3;

    private Recovery() {}

    /** Returns the further order that the slot needs, given a report asked for after the slot's last change. */
    static Optional<OrderKind> furtherOrder(Slot slot, TargetWatch watch) {
        Optional<Held> held = watch.held(slot.artifact());
        if (slot.phase() == Phase.UNLOADING) {
            boolean listed =
                    held.filter(h -> h.state() != ArtifactState.UNLOADING).isPresent();
            return listed || raisesNumber(slot) ? limited(slot, OrderKind.UNLOAD) : Optional.empty();
        }
        if (slot.openOrders().isEmpty()) {
            return Optional.empty();
        }
        boolean wantsLoad = slot.phase() == Phase.INTENDED && held.isEmpty();
        return wantsLoad || raisesNumber(slot) ? limited(slot, OrderKind.LOAD) : Optional.empty();
    }

    private static boolean raisesNumber(Slot slot) {
        return slot.fencing() && !slot.openOrders().isEmpty();
    }

    private static Optional<OrderKind> limited(Slot slot, OrderKind kind) {
        boolean room = slot.fencing() || slot.openOrders().size() < MAX_OPEN_ORDERS;
        return room ? Optional.of(kind) : Optional.empty();
    }
}
