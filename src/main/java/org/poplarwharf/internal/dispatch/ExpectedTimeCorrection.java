package org.poplarwharf.internal.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * By how much the expected times of a service are wrong at all its targets alike, as the logarithm of a ratio: for each
 * model, and for times of each magnitude, that is, for long prompts and many running requests. A median that each
 * observation moves a little, so that slow responses count no more than others.
 *
 * <p>Confined to one thread.
 */
final class ExpectedTimeCorrection {
    private static final double MAX_STEP_LOG = 0.2;
    private static final double MIN_STEP_LOG = 0.005;

    private final Map<Integer, Median> byMagnitude = new HashMap<>();
    private final Map<String, Median> byModel = new HashMap<>();

    private static final class Median {
        private double valueLog;
        private int count;

        void move(double residualLog) {
            count++;
            valueLog += Math.signum(residualLog) * Math.max(MIN_STEP_LOG, MAX_STEP_LOG / count);
        }
    }

    /** Returns the correction of a time. */
    double correctionLog(String model, long expectedMillis) {
        return magnitude(expectedMillis).valueLog + model(model).valueLog;
    }

    /** Moves the correction of a time by an observation, whose difference from what was expected of its target is given. */
    void record(String model, long expectedMillis, double residualLog) {
        magnitude(expectedMillis).move(residualLog);
        model(model).move(residualLog);
    }

    private Median magnitude(long expectedMillis) {
        int bits = Long.SIZE - Long.numberOfLeadingZeros(Math.max(1, expectedMillis));
        return byMagnitude.computeIfAbsent(bits, unused -> new Median());
    }

    private Median model(String model) {
        return byModel.computeIfAbsent(model, unused -> new Median());
    }
}
