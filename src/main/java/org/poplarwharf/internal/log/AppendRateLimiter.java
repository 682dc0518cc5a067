package org.poplarwharf.internal.log;

import org.poplarwharf.internal.kernel.MonotonicClock;

/**
 * Limits the rate of appends of one node, summed over all its streams, with a token bucket.
 *
 * <p>Invariant: the sustained rate never exceeds {@code appendsPerSecond}; a burst adds at most one second's worth of
 * appends. Confined to the control thread.
 */
public final class AppendRateLimiter {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final MonotonicClock clock;
    private final double appendsPerSecond;
    private double availableAppends;
    private long lastRefillMillis;

    public AppendRateLimiter(MonotonicClock clock, double appendsPerSecond) {
        this.clock = clock;
        this.appendsPerSecond = appendsPerSecond;
        this.availableAppends = appendsPerSecond;
        this.lastRefillMillis = clock.nowMillis();
    }

    /**
     * Acquires one append and returns zero. If the rate limit is reached, acquires nothing and returns how many
     * milliseconds to wait before the next call.
     */
    long acquireOrWaitMillis() {
        long nowMillis = clock.nowMillis();
        availableAppends = Math.min(
                appendsPerSecond,
                availableAppends + (nowMillis - lastRefillMillis) * appendsPerSecond / MILLIS_PER_SECOND);
        lastRefillMillis = nowMillis;
        if (availableAppends >= 1) {
            availableAppends -= 1;
            return 0;
        }
        return (long) Math.ceil((1 - availableAppends) * MILLIS_PER_SECOND / appendsPerSecond);
    }
}
