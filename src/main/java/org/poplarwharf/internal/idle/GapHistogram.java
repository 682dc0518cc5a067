package org.poplarwharf.internal.idle;

/**
 * Counts gaps between requests in buckets whose bounds grow by a constant factor, older gaps counting less.
 *
 * <p>Invariant: a fixed number of buckets, whatever was added. Belongs to one thread.
 */
final class GapHistogram {
    static final int BUCKETS = 96;

    private static final double GROWTH = 1.2;
    private static final double SMALLEST_MILLIS = 1;
    /** What earlier gaps are worth when a new one is added. */
    private static final double MEMORY = 0.98;

    private final double[] counts = new double[BUCKETS];
    private double total;

    void add(long gapMillis) {
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            counts[bucket] *= MEMORY;
        }
        total = total * MEMORY + 1;
        counts[bucketOf(gapMillis)]++;
    }

    double total() {
        return total;
    }

    double count(int bucket) {
        return counts[bucket];
    }

    /** Returns the upper bound of a bucket in milliseconds. */
    static double upperMillis(int bucket) {
        return SMALLEST_MILLIS * Math.pow(GROWTH, bucket + 1.0);
    }

    private static int bucketOf(long gapMillis) {
        double scaled = Math.max(SMALLEST_MILLIS, gapMillis) / SMALLEST_MILLIS;
        int bucket = (int) Math.floor(Math.log(scaled) / Math.log(GROWTH));
        return Math.min(BUCKETS - 1, bucket);
    }
}
