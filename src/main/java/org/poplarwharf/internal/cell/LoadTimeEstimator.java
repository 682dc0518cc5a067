package org.poplarwharf.internal.cell;

import java.util.HashMap;
import java.util.Map;
import org.poplarwharf.internal.cell.PlanInput.SlotKey;

/**
 * Estimates the duration of a load from past loads, with separate models for local copies and for the weight store.
 *
 * <p>Invariant: an estimate is never negative and never decreases as the size grows. Confined to the control thread.
 */
final class LoadTimeEstimator {
    private final LinearFit storeFit = new LinearFit();
    private final LinearFit nearCopyFit = new LinearFit();
    private final Map<SlotKey, Start> starts = new HashMap<>();

    private record Start(long atMillis, boolean nearCopy) {}

    /**
     * Records the start of a load and whether a near copy existed. The latter is kept because an engine lists a near
     * copy after every load.
     */
    void recordStart(SlotKey slot, boolean nearCopy, long nowMillis) {
        starts.put(slot, new Start(nowMillis, nearCopy));
    }

    /** Adds the duration of a successful load to the model. */
    void recordSuccess(SlotKey slot, long sizeBytes, long nowMillis) {
        Start start = starts.remove(slot);
        if (start != null) {
            (start.nearCopy ? nearCopyFit : storeFit).add(sizeBytes, nowMillis - start.atMillis);
        }
    }

    /** Discards a load that failed; returns false if none was in progress. */
    boolean recordFailure(SlotKey slot) {
        return starts.remove(slot) != null;
    }

    /** Returns the estimated duration of a load of the given size. */
    long estimateMillis(long sizeBytes, boolean nearCopy) {
        return (long) Math.ceil((nearCopy ? nearCopyFit : storeFit).millis(sizeBytes));
    }

    /**
     * Models the duration of a load as a fixed time plus a time per byte, fitted by least squares with exponentially
     * decaying weights.
     */
    private static final class LinearFit {
        private static final double DECAY_RATIO = 0.9;
        private static final double INITIAL_BYTES_PER_MILLI = 1_000_000;
        private static final double INITIAL_FIXED_MILLIS = 500;
        /** Below this ratio of standard deviation to mean, the sizes are too similar to fit a slope. */
        private static final double MIN_DEVIATION_RATIO = 0.1;

        private double weight;
        private double byteSum;
        private double millisSum;
        private double bytesSquaredSum;
        private double bytesMillisSum;

        void add(double sizeBytes, double loadMillis) {
            weight = weight * DECAY_RATIO + 1;
            byteSum = byteSum * DECAY_RATIO + sizeBytes;
            millisSum = millisSum * DECAY_RATIO + loadMillis;
            bytesSquaredSum = bytesSquaredSum * DECAY_RATIO + sizeBytes * sizeBytes;
            bytesMillisSum = bytesMillisSum * DECAY_RATIO + sizeBytes * loadMillis;
        }

        double millis(double sizeBytes) {
            if (weight <= 0) {
                return INITIAL_FIXED_MILLIS + sizeBytes / INITIAL_BYTES_PER_MILLI;
            }
            double meanBytes = byteSum / weight;
            double meanMillis = millisSum / weight;
            double variance = bytesSquaredSum / weight - meanBytes * meanBytes;
            if (variance <= Math.pow(MIN_DEVIATION_RATIO * meanBytes, 2)) {
                return meanMillis * Math.max(1, sizeBytes / Math.max(1, meanBytes));
            }
            double millisPerByte = Math.max(0, (bytesMillisSum / weight - meanBytes * meanMillis) / variance);
            double fixedMillis = meanMillis - millisPerByte * meanBytes;
            if (fixedMillis >= 0) {
                return fixedMillis + millisPerByte * sizeBytes;
            }
            return bytesMillisSum / bytesSquaredSum * sizeBytes;
        }
    }
}
