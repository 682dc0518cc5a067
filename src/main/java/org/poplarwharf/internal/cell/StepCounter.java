package org.poplarwharf.internal.cell;

import java.util.HashMap;
import java.util.Map;
import org.poplarwharf.internal.cell.PlanInput.SlotKey;

/**
 * Orders the steps of this process, so that a report can be told to have been asked for after an order's answer.
 *
 * <p>Invariant: counts grow by one and no clock takes part. Belongs to the control thread.
 */
final class StepCounter {
    private final Map<SlotKey, Long> touched = new HashMap<>();
    private long count;
    private long floor;

    long next() {
        count++;
        return count;
    }

    /** Makes every report that was asked for before now useless as evidence. */
    void touchAll() {
        touched.clear();
        floor = next();
    }

    /** Notes that something about a slot was learned or changed now. */
    void touch(SlotKey slot) {
        touched.put(slot, next());
    }

    /** Returns the step of the last change of a slot. */
    long lastTouched(SlotKey slot) {
        return touched.getOrDefault(slot, floor);
    }
}
