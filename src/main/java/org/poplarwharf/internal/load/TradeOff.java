package org.poplarwharf.internal.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalDouble;
import java.util.function.ToDoubleFunction;

/**
 * The measured points of several policies on one trace, and how a policy compares with the baseline. Immutable and
 * thread-safe.
 */
public record TradeOff(List<Point> points) {
    private static final double TARGET_RATIO = 0.5;

    public TradeOff {
        points = List.copyOf(points);
    }

    /**
     * One policy at one setting of its dial.
     *
     * @param idleHours idle accelerator hours of the trace
     */
    public record Point(
            String policy, long keepAliveMillis, double idleHours, ColdStarts coldStarts, int loads, int breaches) {}

    /**
     * A policy against the baseline's curve, which is read on straight lines between its points; empty where no point of
     * the policy lies within the baseline's range.
     *
     * @param p99Ratio the best ratio of the cold-start p99 to that of the baseline at equal idle hours
     * @param idleRatio the best ratio of idle hours to those of the baseline at equal p99
     */
    public record Verdict(String policy, OptionalDouble p99Ratio, OptionalDouble idleRatio) {
        /** Tells whether the p99 was at most half at equal idle hours. */
        public boolean meetsTail() {
            return p99Ratio.isPresent() && p99Ratio.getAsDouble() <= TARGET_RATIO;
        }

        /** Tells whether idle hours were at most half at equal p99. */
        public boolean meetsIdle() {
            return idleRatio.isPresent() && idleRatio.getAsDouble() <= TARGET_RATIO;
        }
    }

    /** Returns how each other policy compares with the baseline. */
    public List<Verdict> against(String baseline) {
        return points.stream()
                .map(Point::policy)
                .distinct()
                .filter(policy -> !policy.equals(baseline))
                .map(policy -> verdict(policy, of(baseline)))
                .toList();
    }

    /** Returns the points of a policy. */
    public List<Point> of(String policy) {
        return points.stream().filter(point -> point.policy().equals(policy)).toList();
    }

    private Verdict verdict(String policy, List<Point> baseline) {
        List<Point> curve = curve(baseline);
        List<Double> p99Ratios = new ArrayList<>();
        List<Double> idleRatios = new ArrayList<>();
        for (Point point : of(policy)) {
            at(curve, point.idleHours(), Point::idleHours, TradeOff::p99)
                    .ifPresent(base -> p99Ratios.add(p99(point) / base));
            at(curve, p99(point), TradeOff::p99, Point::idleHours)
                    .ifPresent(base -> idleRatios.add(point.idleHours() / base));
        }
        return new Verdict(policy, least(p99Ratios), least(idleRatios));
    }

    /** Returns the points that no other one beats in both measures, by idle hours. */
    private static List<Point> curve(List<Point> points) {
        List<Point> byIdle = new ArrayList<>(points);
        byIdle.sort(Comparator.comparingDouble(Point::idleHours));
        List<Point> curve = new ArrayList<>();
        for (Point point : byIdle) {
            if (curve.isEmpty() || p99(point) < p99(curve.get(curve.size() - 1))) {
                curve.add(point);
            }
        }
        return curve;
    }

    /** Returns a measure of the curve where another has a value, on straight lines between the points. */
    private static OptionalDouble at(
            List<Point> curve, double value, ToDoubleFunction<Point> known, ToDoubleFunction<Point> wanted) {
        for (int next = 1; next < curve.size(); next++) {
            Point one = curve.get(next - 1);
            Point other = curve.get(next);
            double share = (value - known.applyAsDouble(one)) / (known.applyAsDouble(other) - known.applyAsDouble(one));
            if (share >= 0 && share <= 1) {
                double from = wanted.applyAsDouble(one);
                return OptionalDouble.of(from + share * (wanted.applyAsDouble(other) - from));
            }
        }
        return OptionalDouble.empty();
    }

    private static double p99(Point point) {
        return point.coldStarts().p99Millis();
    }

    private static OptionalDouble least(List<Double> ratios) {
        return ratios.stream().mapToDouble(Double::doubleValue).min();
    }
}
