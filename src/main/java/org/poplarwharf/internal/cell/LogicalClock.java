package org.poplarwharf.internal.cell;

import java.util.HashMap;
import java.util.Map;
import org.poplarwharf.internal.cell.PlanInput.SlotKey;

/**
 * Orders the events of this process, so that a report can be recognised as requested after an order's reply.
 *
 * <p>Invariant: the count grows by one with each event and does not depend on a clock. Confined to the control thread.
 */
final class LogicalClock {
    private final Map<SlotKey, Long> changes = new HashMap<>();
    private long count;
    private long allChangedAt;

    /** Advances the clock and returns the new count. */
    long next() {
        count++;
        return count;
    }

    /** Marks all slots as changed, so that no report requested before counts as evidence. */
    void markAllChanged() {
        changes.clear();
        allChangedAt = next();
    }

    /** Marks a slot as changed now. */
    void markChanged(SlotKey slot) {
        changes.put(slot, next());
    }

    /** Returns the count at the last change of a slot. */
    long lastChange(SlotKey slot) {
        return changes.getOrDefault(slot, allChangedAt);
    }
}
