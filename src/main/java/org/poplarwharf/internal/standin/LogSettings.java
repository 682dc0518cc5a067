package org.poplarwharf.internal.standin;

/**
 * Limits of the log stand-in. Immutable and thread-safe.
 *
 * @param appendsPerSecond appends beyond this rate wait for their turn
 * @param retentionMillis records older than this are dropped
 * @param retentionRecords a stream keeps at most this many records
 * @param seed seed of the chance faults
 */
public record LogSettings(double appendsPerSecond, long retentionMillis, int retentionRecords, long seed) {
    private static final double DEFAULT_APPENDS_PER_SECOND = 400;
    private static final long DEFAULT_RETENTION_MILLIS = 3_600_000;
    private static final int DEFAULT_RETENTION_RECORDS = 1_000_000;

    /** Returns limits like those of the platform. */
    public static LogSettings defaults() {
        return new LogSettings(DEFAULT_APPENDS_PER_SECOND, DEFAULT_RETENTION_MILLIS, DEFAULT_RETENTION_RECORDS, 1);
    }
}
