package org.poplarwharf.internal.log;

/**
 * The limits, timeouts and intervals of a stream. Immutable and thread-safe.
 *
 * @param maxPageRecords the maximum number of log entries that one read requests
 * @param longPollMillis how long a read waits for the next entry at the end of the stream
 * @param callTimeoutMillis the timeout of a call to the log, in addition to the long-poll wait of a read
 * @param minBackoffMillis the upper bound of the first delay after a failed call
 * @param maxBackoffMillis the upper bound of all delays after failed calls
 * @param emptyPageDelayMillis the delay after a read that returned no entries
 * @param retentionMillis how long the platform's log keeps a record
 * @param checkpointIntervalRecords the number of records after which a new checkpoint is due
 */
public record StreamSettings(
        int maxPageRecords,
        long longPollMillis,
        long callTimeoutMillis,
        long minBackoffMillis,
        long maxBackoffMillis,
        long emptyPageDelayMillis,
        long retentionMillis,
        long checkpointIntervalRecords) {
    /** Settings for a log that keeps its records for an hour or longer. */
    public static final StreamSettings DEFAULT =
            new StreamSettings(500, 5_000, 3_000, 100, 5_000, 20, 3_600_000, 20_000);

    /** Returns a copy of these settings with another retention. */
    public StreamSettings withRetentionMillis(long newRetentionMillis) {
        return new StreamSettings(
                maxPageRecords,
                longPollMillis,
                callTimeoutMillis,
                minBackoffMillis,
                maxBackoffMillis,
                emptyPageDelayMillis,
                newRetentionMillis,
                checkpointIntervalRecords);
    }
}
