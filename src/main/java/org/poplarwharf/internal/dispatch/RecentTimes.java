package org.poplarwharf.internal.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * How often something happened within a sliding window, whose length may change.
 *
 * <p>Invariant: each use forgets what is older than the window, so no more is kept. Confined to one thread.
 */
public final class RecentTimes {
    private final Deque<Long> timesMillis = new ArrayDeque<>();

    public void add(long nowMillis, long windowMillis) {
        forget(nowMillis, windowMillis);
        timesMillis.addLast(nowMillis);
    }

    public int count(long nowMillis, long windowMillis) {
        forget(nowMillis, windowMillis);
        return timesMillis.size();
    }

    private void forget(long nowMillis, long windowMillis) {
        while (!timesMillis.isEmpty() && timesMillis.peekFirst() <= nowMillis - windowMillis) {
            timesMillis.removeFirst();
        }
    }
}
