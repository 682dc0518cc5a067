package org.poplarwharf.internal.lease;

/**
 * The times of a lease. Immutable and thread-safe.
 *
 * @param termMillis how long a holder holds from before it sent its last successful claim or renewal
 * @param renewMillis how often it renews
 * @param retryMillis the pause after a renewal that did not succeed, and between looks at the log
 * @param orderGapMillis the least time between the orders of two holders
 */
public record LeaseTimes(long termMillis, long renewMillis, long retryMillis, long orderGapMillis) {
    /** Outlives short outages of the log, and ends soon enough after a VM that is lost without a sign. */
    private static final long TERM_MILLIS = 6_500;

    private static final long RENEW_MILLIS = 2_000;
    private static final long RETRY_MILLIS = 500;

    /** For clocks that drift and answers under way. */
    private static final long MARGIN_MILLIS = 300;

    /** Returns the times for a deployment that wants this long between the orders of two holders. */
    public static LeaseTimes with(long orderGapMillis) {
        return new LeaseTimes(TERM_MILLIS, RENEW_MILLIS, RETRY_MILLIS, orderGapMillis + MARGIN_MILLIS);
    }
}
