package org.poplarwharf.internal.cell;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.poplarwharf.internal.cell.PlanInput.SlotKey;

/**
 * What this process did with the orders that it was allowed to send.
 *
 * <p>Invariants: an order is begun at most once; an order that was denied is never begun afterwards; an order counts as
 * concluded only after its answer came. Kept in memory alone, so it dies with the process that could send. Belongs to
 * the control thread.
 */
final class OrderBook {
    /** How far an order of this process is. */
    enum Progress {
        DENIED,
        SENT,
        UNANSWERED,
        ANSWERED,
        STALE
    }

    private final Map<Long, Progress> progress = new HashMap<>();
    private final Set<SlotKey> busy = new HashSet<>();

    /** Marks a slot as having a step under way; false when it has one already. */
    boolean enter(SlotKey slot) {
        return busy.add(slot);
    }

    void leave(SlotKey slot) {
        busy.remove(slot);
    }

    boolean busy(SlotKey slot) {
        return busy.contains(slot);
    }

    boolean anyBusy() {
        return !busy.isEmpty();
    }

    /** Allows the one dispatch of an order; false when it was denied or begun before. */
    boolean begin(long intentOffset) {
        return progress.putIfAbsent(intentOffset, Progress.SENT) == null;
    }

    /** Decides that an order is never sent, unless it was begun; returns whether it is surely never sent. */
    boolean deny(long intentOffset) {
        return progress.computeIfAbsent(intentOffset, offset -> Progress.DENIED) == Progress.DENIED;
    }

    void conclude(long intentOffset, Progress outcome) {
        progress.put(intentOffset, outcome);
    }

    /** Returns what is known of an order, or null when nothing was decided yet. */
    Progress of(long intentOffset) {
        return progress.get(intentOffset);
    }

    void forget(long intentOffset) {
        progress.remove(intentOffset);
    }

    /** Tells whether an order was begun and neither answered nor given up yet. */
    boolean anySent() {
        return progress.containsValue(Progress.SENT);
    }
}
