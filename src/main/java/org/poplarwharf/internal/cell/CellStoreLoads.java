package org.poplarwharf.internal.cell;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Predicate;
import org.poplarwharf.internal.cell.PlanInput.SlotKey;
import org.poplarwharf.internal.state.CellStateView;
import org.poplarwharf.internal.state.CellStateView.Slot;
import org.poplarwharf.internal.state.CellStateView.SlotPhase;

/**
 * The loads of one cell from the weight store, within the limits of the node.
 *
 * <p>Invariant: a load counts from its start until its order is no longer under way and the log shows no slot that is being
 * loaded. Confined to the control thread.
 */
final class CellStoreLoads {
    private final String cell;
    private final StoreLoadLimiter limiter;
    private final CellStateView state;
    private final OrderExecutor orders;
    private final Predicate<SlotKey> hasNearCopy;
    private final Set<SlotKey> started = new HashSet<>();

    CellStoreLoads(
            String cell,
            StoreLoadLimiter limiter,
            CellStateView state,
            OrderExecutor orders,
            Predicate<SlotKey> hasNearCopy) {
        this.cell = cell;
        this.limiter = limiter;
        this.state = state;
        this.orders = orders;
        this.hasNearCopy = hasNearCopy;
    }

    /** Starts a load if the store serves one more. */
    boolean tryStart(SlotKey load, long nowMillis) {
        if (!limiter.tryStart(cell, load, nowMillis)) {
            return false;
        }
        started.add(load);
        return true;
    }

    /** Tells the limiter which loads run now. */
    void update() {
        started.removeIf(load -> !orders.isBusy(load));
        Set<SlotKey> loads = new HashSet<>(started);
        for (Slot slot : state.slots()) {
            SlotKey key = SlotKey.of(slot);
            if (slot.phase() == SlotPhase.INTENDED && !hasNearCopy.test(key)) {
                loads.add(key);
            }
        }
        limiter.setLoads(cell, loads);
    }

    /** Tells the limiter that this node loads nothing for the cell any longer. */
    void clear() {
        started.clear();
        limiter.setLoads(cell, Set.of());
    }
}
