package org.poplarwharf.internal.log;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Computes the delays between retries: exponential backoff with full jitter, so that nodes that failed at the same time
 * don't retry at the same time.
 *
 * <p>Not thread-safe.
 */
final class RetryBackoff {
    private static final int MAX_DOUBLING_COUNT = 30;

    private final long minDelayMillis;
    private final long maxDelayMillis;
    private final UniformRandomProvider random;
    private int failureCount;

    RetryBackoff(long minDelayMillis, long maxDelayMillis, UniformRandomProvider random) {
        this.minDelayMillis = minDelayMillis;
        this.maxDelayMillis = maxDelayMillis;
        this.random = random;
    }

    /** Counts a failure and returns the delay before the next attempt. */
    long nextDelayMillis() {
        long delayLimitMillis = Math.min(maxDelayMillis, minDelayMillis << Math.min(failureCount, MAX_DOUBLING_COUNT));
        failureCount++;
        return 1 + random.nextLong(Math.max(1, delayLimitMillis));
    }

    void reset() {
        failureCount = 0;
    }

    boolean hasFailures() {
        return failureCount > 0;
    }
}
