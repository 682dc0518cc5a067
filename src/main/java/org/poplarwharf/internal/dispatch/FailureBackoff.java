package org.poplarwharf.internal.dispatch;

/**
 * Exponential backoff for a failed target: each consecutive failure doubles the delay, up to a limit. Confined to one
 * thread.
 */
public final class FailureBackoff {
    /** Bounds the shift so that it can't overflow; the maximum delay is reached long before. */
    private static final int MAX_DOUBLING_COUNT = 10;

    private final long initialMillis;
    private final long maxMillis;
    private int consecutiveFailures;
    private long untilMillis;

    public FailureBackoff(long initialMillis, long maxMillis) {
        this.initialMillis = initialMillis;
        this.maxMillis = maxMillis;
    }

    /** Records a failure and starts the next delay. */
    public void recordFailure(long nowMillis) {
        untilMillis =
                nowMillis + Math.min(maxMillis, initialMillis << Math.min(consecutiveFailures, MAX_DOUBLING_COUNT));
        consecutiveFailures++;
    }

    /** Records a success: the next failure starts with the initial delay again. */
    public void recordSuccess() {
        consecutiveFailures = 0;
    }

    /** Returns how much longer the target gets no requests; zero if no backoff is active. */
    public long remainingMillis(long nowMillis) {
        return Math.max(0, untilMillis - nowMillis);
    }
}
