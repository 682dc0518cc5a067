package org.poplarwharf.internal.log;

import org.poplarwharf.internal.kernel.MonotonicClock;

/**
 * Bounds the appends a second of one node over all its streams.
 *
 * <p>Invariant: never more than {@code perSecond} appends are let through in a second beyond one second's burst. Belongs
 * to the control thread.
 */
public final class AppendRateLimiter {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final MonotonicClock clock;
    private final double perSecond;
    private double available;
    private long filledMillis;

    public AppendRateLimiter(MonotonicClock clock, double perSecond) {
        this.clock = clock;
        this.perSecond = perSecond;
        this.available = perSecond;
        this.filledMillis = clock.nowMillis();
    }

    /** Takes one append and returns zero, or returns how long to wait before asking again. */
    long acquireOrWaitMillis() {
        long nowMillis = clock.nowMillis();
        available = Math.min(perSecond, available + (nowMillis - filledMillis) * perSecond / MILLIS_PER_SECOND);
        filledMillis = nowMillis;
        if (available >= 1) {
            available -= 1;
            return 0;
        }
        return (long) Math.ceil((1 - available) * MILLIS_PER_SECOND / perSecond);
    }
}
