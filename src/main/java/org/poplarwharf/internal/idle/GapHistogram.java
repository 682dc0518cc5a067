package org.poplarwharf.internal.idle;

/**
 * A histogram of the gaps between requests. Bucket bounds grow by a constant factor, and the weight of older gaps
 * decays.
 *
 * <p>Invariant: the number of buckets is fixed, whatever is added. Confined to one thread.
 */
final class GapHistogram {
    static final int BUCKET_COUNT = 96;

    private static final double BUCKET_GROWTH_FACTOR = 1.2;
    private static final double SMALLEST_GAP_MILLIS = 1;
    /** The factor applied to the weight of all earlier gaps when a gap is added. */
    private static final double DECAY_FACTOR_PER_GAP = 0.98;

    private final double[] weights = new double[BUCKET_COUNT];
    private double totalWeight;

    void add(long gapMillis) {
        for (int bucket = 0; bucket < BUCKET_COUNT; bucket++) {
            weights[bucket] *= DECAY_FACTOR_PER_GAP;
        }
        totalWeight = totalWeight * DECAY_FACTOR_PER_GAP + 1;
        weights[bucketOf(gapMillis)]++;
    }

    double totalWeight() {
        return totalWeight;
    }

    double weight(int bucket) {
        return weights[bucket];
    }

    /** Returns the upper bound of a bucket in milliseconds. */
    static double upperBoundMillis(int bucket) {
        return SMALLEST_GAP_MILLIS * Math.pow(BUCKET_GROWTH_FACTOR, bucket + 1.0);
    }

    private static int bucketOf(long gapMillis) {
        double ratio = Math.max(SMALLEST_GAP_MILLIS, gapMillis) / SMALLEST_GAP_MILLIS;
        int bucket = (int) Math.floor(Math.log(ratio) / Math.log(BUCKET_GROWTH_FACTOR));
        return Math.min(BUCKET_COUNT - 1, bucket);
    }
}
