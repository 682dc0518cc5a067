package org.poplarwharf.internal.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Counts events within a sliding window whose length may change between calls.
 *
 * <p>Invariant: every call removes the events that are older than its window, so memory is bounded by the events of one
 * window. Confined to one thread.
 */
public final class SlidingWindowCounter {
    private final Deque<Long> timesMillis = new ArrayDeque<>();

    /** Records an event at the given time. */
    public void add(long nowMillis, long windowMillis) {
        removeExpired(nowMillis, windowMillis);
        timesMillis.addLast(nowMillis);
    }

    /** Returns the number of events within the window that ends now. */
    public int count(long nowMillis, long windowMillis) {
        removeExpired(nowMillis, windowMillis);
        return timesMillis.size();
    }

    private void removeExpired(long nowMillis, long windowMillis) {
        while (!timesMillis.isEmpty() && timesMillis.peekFirst() <= nowMillis - windowMillis) {
            timesMillis.removeFirst();
        }
    }
}
