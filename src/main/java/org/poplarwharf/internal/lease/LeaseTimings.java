package org.poplarwharf.internal.lease;

/**
 * Durations that govern a lease. Immutable and thread-safe.
 *
 * @param termMillis how long the lease is valid, counted from before the holder sent its last successful claim or
 *     renewal
 * @param renewIntervalMillis the interval between renewals
 * @param retryMillis the delay after a failed renewal, and between reads of the log
 * @param orderGapMillis the minimum time between the orders of two holders
 */
public record LeaseTimings(long termMillis, long renewIntervalMillis, long retryMillis, long orderGapMillis) {
    /**
     * Longer than short outages of the log, but short enough for a quick failover after a VM is lost without notice.
     */
    private static final long TERM_MILLIS = 6_500;

    private static final long RENEW_INTERVAL_MILLIS = 2_000;
    private static final long RETRY_MILLIS = 500;

    /** Allows for clock drift and for responses in flight. */
    private static final long ORDER_GAP_MARGIN_MILLIS = 300;

    /** Returns the timings for a deployment that requires this minimum time between the orders of two holders. */
    public static LeaseTimings withOrderGap(long orderGapMillis) {
        return new LeaseTimings(
                TERM_MILLIS, RENEW_INTERVAL_MILLIS, RETRY_MILLIS, orderGapMillis + ORDER_GAP_MARGIN_MILLIS);
    }
}
