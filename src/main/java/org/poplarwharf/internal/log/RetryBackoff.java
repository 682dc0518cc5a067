package org.poplarwharf.internal.log;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Pauses between attempts: exponential with full jitter, so that nodes which failed together don't return together.
 *
 * <p>Belongs to one thread.
 */
final class RetryBackoff {
    private static final int MAX_DOUBLINGS = 30;

    private final long minMillis;
    private final long maxMillis;
    private final UniformRandomProvider random;
    private int failures;

    RetryBackoff(long minMillis, long maxMillis, UniformRandomProvider random) {
        this.minMillis = minMillis;
        this.maxMillis = maxMillis;
        this.random = random;
    }

    /** Counts a failure and returns the pause before the next attempt. */
    long nextDelayMillis() {
        long ceilingMillis = Math.min(maxMillis, minMillis << Math.min(failures, MAX_DOUBLINGS));
        failures++;
        return 1 + random.nextLong(Math.max(1, ceilingMillis));
    }

    void reset() {
        failures = 0;
    }

    boolean hasFailures() {
        return failures > 0;
    }
}
