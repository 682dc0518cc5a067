package org.poplarwharf.internal.standin;

/**
 * Limits of the log stand-in. Immutable and thread-safe.
 *
 * @param appendsPerSecond maximum append rate; appends beyond it are delayed
 * @param retentionMillis age beyond which records are dropped
 * @param retentionRecords maximum number of records that a stream keeps
 * @param seed seed of the random faults
 */
public record LogSettings(double appendsPerSecond, long retentionMillis, int retentionRecords, long seed) {
    private static final double DEFAULT_APPENDS_PER_SECOND = 400;
    private static final long DEFAULT_RETENTION_MILLIS = 3_600_000;
    private static final int DEFAULT_RETENTION_RECORDS = 1_000_000;

    /** Returns the limits of the platform's log. */
    public static LogSettings defaults() {
        return new LogSettings(DEFAULT_APPENDS_PER_SECOND, DEFAULT_RETENTION_MILLIS, DEFAULT_RETENTION_RECORDS, 1);
    }
}
