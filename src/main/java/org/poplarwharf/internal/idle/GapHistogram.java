package org.poplarwharf.internal.idle;

/**
 * Counts gaps between requests in buckets whose bounds grow by a constant factor, older gaps counting less.
 *
 * <p>Invariant: a fixed number of buckets, whatever was added. Belongs to one thread.
 */
final class GapHistogram {
    static final int BUCKET_COUNT = 96;

    private static final double BUCKET_GROWTH_FACTOR = 1.2;
    private static final double SMALLEST_GAP_MILLIS = 1;
    /** What earlier gaps are worth when a new one is added. */
    private static final double DECAY_FACTOR_PER_GAP = 0.98;

    private final double[] counts = new double[BUCKET_COUNT];
    private double totalWeight;

    void add(long gapMillis) {
        for (int bucket = 0; bucket < BUCKET_COUNT; bucket++) {
            counts[bucket] *= DECAY_FACTOR_PER_GAP;
        }
        totalWeight = totalWeight * DECAY_FACTOR_PER_GAP + 1;
        counts[bucketOf(gapMillis)]++;
    }

    double totalWeight() {
        return totalWeight;
    }

    double weight(int bucket) {
        return counts[bucket];
    }

    /** Returns the upper bound of a bucket in milliseconds. */
    static double upperBoundMillis(int bucket) {
        return SMALLEST_GAP_MILLIS * Math.pow(BUCKET_GROWTH_FACTOR, bucket + 1.0);
    }

    private static int bucketOf(long gapMillis) {
        double scaled = Math.max(SMALLEST_GAP_MILLIS, gapMillis) / SMALLEST_GAP_MILLIS;
        int bucket = (int) Math.floor(Math.log(scaled) / Math.log(BUCKET_GROWTH_FACTOR));
        return Math.min(BUCKET_COUNT - 1, bucket);
    }
}
