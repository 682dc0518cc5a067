package org.poplarwharf.internal.load;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

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
     * A policy against the baseline; empty where the baseline has no point to compare with.
     *
     * @param p99Ratio the best ratio of the cold-start p99 to the least that the baseline has with no more idle hours
     * @param idleRatio the best ratio of idle hours to the least that the baseline has with no higher p99
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
        OptionalDouble p99Ratio = of(policy).stream()
                .flatMap(point -> least(
                        baseline.stream()
                                .filter(base -> base.idleHours() <= point.idleHours())
                                .toList(),
                        true)
                        .map(p99Millis -> p99(point) / p99Millis)
                        .stream())
                .mapToDouble(Double::doubleValue)
                .min();
        OptionalDouble idleRatio = of(policy).stream()
                .flatMap(point -> least(
                        baseline.stream()
                                .filter(base -> p99(base) <= p99(point))
                                .toList(),
                        false)
                        .map(idleHours -> point.idleHours() / idleHours)
                        .stream())
                .mapToDouble(Double::doubleValue)
                .min();
        return new Verdict(policy, p99Ratio, idleRatio);
    }

    private static double p99(Point point) {
        return point.coldStarts().p99Millis();
    }

    private static Optional<Double> least(List<Point> points, boolean ofP99) {
        return points.stream()
                .map(point -> ofP99 ? p99(point) : point.idleHours())
                .filter(value -> value > 0)
                .min(Double::compare);
    }
}
