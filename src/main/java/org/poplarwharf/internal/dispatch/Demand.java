package org.poplarwharf.internal.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * How often each model is asked for: a rate that fades, so that it follows demand that moves on.
 *
 * <p>Confined to one thread. Keeps one entry for each model that was ever asked for.
 */
final class Demand {
    /** Demand moves to other models over some five seconds; three times that keeps the rate of rare ones steady. */
    private static final double FADE_MILLIS = 15_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Map<String, Rate> rates = new HashMap<>();

    private static final class Rate {
        private double weight;
        private long atMillis;
    }

    void asked(String model, long nowMillis) {
        Rate rate = rates.computeIfAbsent(model, key -> new Rate());
        rate.weight = rate.weight * fade(rate, nowMillis) + 1;
        rate.atMillis = nowMillis;
    }

    /** Counts a model as asked for this often of late, before any request has shown it. */
    void expect(String model, double perSecond, long nowMillis) {
        Rate rate = rates.computeIfAbsent(model, key -> new Rate());
        rate.weight = Math.max(rate.weight * fade(rate, nowMillis), perSecond * FADE_MILLIS / MILLIS_PER_SECOND);
        rate.atMillis = nowMillis;
    }

    /** Returns requests a second. */
    double perSecond(String model, long nowMillis) {
        Rate rate = rates.get(model);
        return rate == null ? 0 : rate.weight * fade(rate, nowMillis) / FADE_MILLIS * MILLIS_PER_SECOND;
    }

    private static double fade(Rate rate, long nowMillis) {
        return Math.exp(-(nowMillis - rate.atMillis) / FADE_MILLIS);
    }
}
