package org.poplarwharf.internal.cell;

/**
 * Limits loads from the weight store by a token bucket and by a maximum number of concurrent loads.
 *
 * <p>Invariant: at most {@code maxConcurrentLoads} loads run at a time. Starts keep to the configured rate after a
 * burst of as many loads. Confined to the control thread.
 */
final class StoreLoadLimiter {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final double startsPerSecond;
    private final int maxConcurrentLoads;
    private double tokens;
    private long refilledMillis;

    StoreLoadLimiter(double startsPerSecond, int maxConcurrentLoads, long nowMillis) {
        this.startsPerSecond = startsPerSecond;
        this.maxConcurrentLoads = maxConcurrentLoads;
        this.tokens = maxConcurrentLoads;
        this.refilledMillis = nowMillis;
    }

    /** Takes a token if one is available; {@code loading} is the number of loads that run now. */
    boolean tryStart(int loading, long nowMillis) {
        refill(nowMillis);
        if (loading >= maxConcurrentLoads || tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /** Returns how long a load waits that has {@code ahead} others before it in the queue. */
    long waitMillis(int ahead, long nowMillis) {
        refill(nowMillis);
        double missingTokens = ahead + 1 - tokens;
        return missingTokens <= 0 ? 0 : (long) Math.ceil(missingTokens / startsPerSecond * MILLIS_PER_SECOND);
    }

    private void refill(long nowMillis) {
        double addedTokens = (nowMillis - refilledMillis) / MILLIS_PER_SECOND * startsPerSecond;
        tokens = Math.min(maxConcurrentLoads, tokens + addedTokens);
        refilledMillis = nowMillis;
    }
}
