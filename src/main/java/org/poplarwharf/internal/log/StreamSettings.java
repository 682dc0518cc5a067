package org.poplarwharf.internal.log;

/**
 * How a stream reads, appends and keeps itself readable. Immutable and thread-safe.
 *
 * @param maxPageRecords the most log records that one read asks for
 * @param longPollMillis how long a read waits for the next record
 * @param callTimeoutMillis how long a call may take beyond its waiting before it counts as unanswered
 * @param minBackoffMillis the longest first pause after a failed call
 * @param maxBackoffMillis the longest pause after many failed calls
 * @param emptyPageDelayMillis the pause after a read that found nothing
 * @param retentionMillis how long the platform keeps a record
 * @param checkpointIntervalRecords after how many records a new checkpoint is due
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
    /** Settings that fit a log which keeps its records for an hour or longer. */
    public static final StreamSettings DEFAULT =
            new StreamSettings(500, 5_000, 3_000, 100, 5_000, 20, 3_600_000, 20_000);

    /** Returns the same settings for another retention. */
    public StreamSettings withRetentionMillis(long millis) {
        return new StreamSettings(
                maxPageRecords,
                longPollMillis,
                callTimeoutMillis,
                minBackoffMillis,
                maxBackoffMillis,
                emptyPageDelayMillis,
                millis,
                checkpointIntervalRecords);
    }
}
