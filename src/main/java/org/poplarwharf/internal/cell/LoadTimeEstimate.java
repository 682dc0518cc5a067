package org.poplarwharf.internal.cell;

import java.util.HashMap;
import java.util.Map;
import org.poplarwharf.internal.cell.PlanInput.SlotKey;

/**
 * Predicts how long a load takes from those seen before, near copies apart from the weight store.
 *
 * <p>Invariant: a prediction is never negative and never falls as the size grows. Belongs to the control thread.
 */
final class LoadTimeEstimate {
    private final Line store = new Line();
    private final Line near = new Line();
    private final Map<SlotKey, Start> starts = new HashMap<>();

    private record Start(long atMillis, boolean nearCopy) {}

    /** Tells that a load starts; an engine that has loaded lists a near copy, so whether there was one is kept. */
    void started(SlotKey slot, boolean nearCopy, long nowMillis) {
        starts.put(slot, new Start(nowMillis, nearCopy));
    }

    /** Learns from a load that has ended well. */
    void loaded(SlotKey slot, long sizeBytes, long nowMillis) {
        Start start = starts.remove(slot);
        if (start != null) {
            (start.nearCopy ? near : store).add(sizeBytes, nowMillis - start.atMillis);
        }
    }

    /** Forgets a load that ended in an absence; false when none was under way. */
    boolean failed(SlotKey slot) {
        return starts.remove(slot) != null;
    }

    long millis(long sizeBytes, boolean nearCopy) {
        return (long) Math.ceil((nearCopy ? near : store).millis(sizeBytes));
    }

    /** A time before each load and a time for each byte, fitted by least squares where later loads count more. */
    private static final class Line {
        private static final double MEMORY = 0.9;
        private static final double FIRST_BYTES_PER_MILLI = 1_000_000;
        private static final double FIRST_MILLIS = 500;
        /** Sizes whose standard deviation is below this share of their mean tell no slope. */
        private static final double LEAST_SPREAD = 0.1;

        private double weight;
        private double bytes;
        private double millis;
        private double bytesSquared;
        private double bytesMillis;

        void add(double sizeBytes, double loadMillis) {
            weight = weight * MEMORY + 1;
            bytes = bytes * MEMORY + sizeBytes;
            millis = millis * MEMORY + loadMillis;
            bytesSquared = bytesSquared * MEMORY + sizeBytes * sizeBytes;
            bytesMillis = bytesMillis * MEMORY + sizeBytes * loadMillis;
        }

        double millis(double sizeBytes) {
            if (weight <= 0) {
                return FIRST_MILLIS + sizeBytes / FIRST_BYTES_PER_MILLI;
            }
            double meanBytes = bytes / weight;
            double meanMillis = millis / weight;
            double variance = bytesSquared / weight - meanBytes * meanBytes;
            if (variance <= Math.pow(LEAST_SPREAD * meanBytes, 2)) {
                return meanMillis * Math.max(1, sizeBytes / Math.max(1, meanBytes));
            }
            double slope = Math.max(0, (bytesMillis / weight - meanBytes * meanMillis) / variance);
            double before = meanMillis - slope * meanBytes;
            if (before >= 0) {
                return before + slope * sizeBytes;
            }
            return bytesMillis / bytesSquared * sizeBytes;
        }
    }
}
