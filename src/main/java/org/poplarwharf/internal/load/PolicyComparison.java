package org.poplarwharf.internal.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalDouble;
import java.util.function.ToDoubleFunction;

/**
 * Compares policies that were measured on the same trace by their trade-off between cold start latency and idle
 * accelerator time. Immutable and thread-safe.
 *
 * @param points the measurements of all policies
 */
public record PolicyComparison(List<OperatingPoint> points) {
    private static final double MAX_RATIO_TO_BASELINE = 0.5;

    public PolicyComparison {
        points = List.copyOf(points);
    }

    /**
     * A measurement of one policy with one keep-alive setting. Immutable and thread-safe.
     *
     * @param keepAliveMillis the policy's keep-alive setting
     * @param idleHours idle accelerator hours over the trace
     * @param loads number of loads
     * @param breaches number of times that an engine exceeded its memory
     */
    public record OperatingPoint(
            String policy,
            long keepAliveMillis,
            double idleHours,
            ColdStartStats coldStarts,
            int loads,
            int breaches) {}

    /**
     * Compares a policy with the baseline's curve, which is interpolated linearly between its points. A ratio is empty if
     * no point of the policy lies within the baseline's range. Immutable and thread-safe.
     *
     * @param p99Ratio the smallest ratio of the policy's cold start p99 to the baseline's at equal idle hours
     * @param idleRatio the smallest ratio of the policy's idle hours to the baseline's at equal cold start p99
     */
    public record BaselineComparison(String policy, OptionalDouble p99Ratio, OptionalDouble idleRatio) {
        /** Returns whether the cold start p99 is at most half of the baseline's at equal idle hours. */
        public boolean meetsLatencyGoal() {
            return p99Ratio.isPresent() && p99Ratio.getAsDouble() <= MAX_RATIO_TO_BASELINE;
        }

        /** Returns whether idle hours are at most half of the baseline's at equal cold start p99. */
        public boolean meetsIdleTimeGoal() {
            return idleRatio.isPresent() && idleRatio.getAsDouble() <= MAX_RATIO_TO_BASELINE;
        }
    }

    /** Compares every other policy with the baseline. */
    public List<BaselineComparison> compareWith(String baseline) {
        return points.stream()
                .map(OperatingPoint::policy)
                .distinct()
                .filter(policy -> !policy.equals(baseline))
                .map(policy -> compare(policy, pointsOf(baseline)))
                .toList();
    }

    /** Returns the points of a policy. */
    public List<OperatingPoint> pointsOf(String policy) {
        return points.stream().filter(point -> point.policy().equals(policy)).toList();
    }

    private BaselineComparison compare(String policy, List<OperatingPoint> baseline) {
        List<OperatingPoint> curve = paretoFront(baseline);
        List<Double> p99Ratios = new ArrayList<>();
        List<Double> idleRatios = new ArrayList<>();
        for (OperatingPoint point : pointsOf(policy)) {
            interpolate(curve, point.idleHours(), OperatingPoint::idleHours, PolicyComparison::p99)
                    .ifPresent(baselineValue -> p99Ratios.add(p99(point) / baselineValue));
            interpolate(curve, p99(point), PolicyComparison::p99, OperatingPoint::idleHours)
                    .ifPresent(baselineValue -> idleRatios.add(point.idleHours() / baselineValue));
        }
        return new BaselineComparison(policy, smallest(p99Ratios), smallest(idleRatios));
    }

    /** Returns the Pareto-optimal points in order of idle hours. */
    private static List<OperatingPoint> paretoFront(List<OperatingPoint> points) {
        List<OperatingPoint> byIdle = new ArrayList<>(points);
        byIdle.sort(Comparator.comparingDouble(OperatingPoint::idleHours));
        List<OperatingPoint> curve = new ArrayList<>();
        for (OperatingPoint point : byIdle) {
            if (curve.isEmpty() || p99(point) < p99(curve.get(curve.size() - 1))) {
                curve.add(point);
            }
        }
        return curve;
    }

    /** Interpolates one measure of the curve where another measure has the given value; empty outside the curve. */
    private static OptionalDouble interpolate(
            List<OperatingPoint> curve,
            double value,
            ToDoubleFunction<OperatingPoint> input,
            ToDoubleFunction<OperatingPoint> result) {
        for (int next = 1; next < curve.size(); next++) {
            OperatingPoint lower = curve.get(next - 1);
            OperatingPoint upper = curve.get(next);
            double fraction =
                    (value - input.applyAsDouble(lower)) / (input.applyAsDouble(upper) - input.applyAsDouble(lower));
            if (fraction >= 0 && fraction <= 1) {
                double start = result.applyAsDouble(lower);
                return OptionalDouble.of(start + fraction * (result.applyAsDouble(upper) - start));
            }
        }
        return OptionalDouble.empty();
    }

    private static double p99(OperatingPoint point) {
        return point.coldStarts().p99Millis();
    }

    private static OptionalDouble smallest(List<Double> ratios) {
        return ratios.stream().mapToDouble(Double::doubleValue).min();
    }
}
