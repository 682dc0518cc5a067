package org.poplarwharf.internal.cell;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.poplarwharf.internal.cell.PlanInput.SlotKey;

/**
 * Tracks what this process did with the orders that it may send.
 *
 * <p>Invariants: sending of an order begins at most once. A denied order is never sent afterwards. An order counts as
 * concluded only after its reply arrived or its connection was closed. The state is kept in memory only, so it ends
 * with the process that could send the orders. Confined to the control thread.
 */
final class OrderTracker {
    /** Progress of an order of this process. */
    enum Progress {
        DENIED,
        SENT,
        UNANSWERED,
        ANSWERED,
        STALE
    }

    private final Map<Long, Progress> progress = new HashMap<>();
    private final Set<SlotKey> busySlots = new HashSet<>();

    /** Reserves a slot for one step; returns false if a step is already in progress. */
    boolean tryReserve(SlotKey slot) {
        return busySlots.add(slot);
    }

    void release(SlotKey slot) {
        busySlots.remove(slot);
    }

    boolean isBusy(SlotKey slot) {
        return busySlots.contains(slot);
    }

    boolean hasBusySlot() {
        return !busySlots.isEmpty();
    }

    /** Permits an order to be sent; returns false if it was denied or permitted before. */
    boolean tryBegin(long intentOffset) {
        return progress.putIfAbsent(intentOffset, Progress.SENT) == null;
    }

    /** Denies an order unless its sending has begun; returns whether the order is certain never to be sent. */
    boolean tryDeny(long intentOffset) {
        return progress.computeIfAbsent(intentOffset, offset -> Progress.DENIED) == Progress.DENIED;
    }

    void recordOutcome(long intentOffset, Progress outcome) {
        progress.put(intentOffset, outcome);
    }

    /** Returns the progress of an order, or null if nothing was decided yet. */
    Progress progressOf(long intentOffset) {
        return progress.get(intentOffset);
    }

    void forget(long intentOffset) {
        progress.remove(intentOffset);
    }

    /** Returns whether an order was sent and has neither got a reply nor failed yet. */
    boolean hasOrderInFlight() {
        return progress.containsValue(Progress.SENT);
    }
}
