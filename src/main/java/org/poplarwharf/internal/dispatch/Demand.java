package org.poplarwharf.internal.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * How often each model is asked for. A slow rate tells rare models apart; a fast one notices within seconds that demand
 * has moved on from a busy one.
 *
 * <p>Confined to one thread. Keeps one entry for each model that was ever asked for.
 */
final class Demand {
    /** Rare models are asked for every ten seconds or so. */
    private static final double SLOW_FADE_MILLIS = 15_000;

    /** Busy models are asked for several times a second; their silence shows in less than this. */
    private static final double FAST_FADE_MILLIS = 3_000;

    /** A model that has fallen silent counts as one of the rare ones. */
    private static final double RARE_PER_SECOND = 0.1;

    /** Asked for this often, a model is busy: its only replica stays, and it is worth a second one. */
    private static final double BUSY_PER_SECOND = 0.7;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Map<String, Rate> rates = new HashMap<>();

    /** Two sums of requests that fade with their age. */
    private static final class Rate {
        private double slow;
        private double fast;
        private long atMillis;

        void fadeTo(long nowMillis) {
            if (nowMillis == atMillis) {
                return;
            }
            slow *= Math.exp(-(nowMillis - atMillis) / SLOW_FADE_MILLIS);
            fast *= Math.exp(-(nowMillis - atMillis) / FAST_FADE_MILLIS);
            atMillis = nowMillis;
        }
    }

    void asked(String model, long nowMillis) {
        Rate rate = rate(model, nowMillis);
        rate.slow++;
        rate.fast++;
    }

    /** Counts a model as asked for this often of late, before any request has shown it. */
    void expect(String model, double perSecond, long nowMillis) {
        Rate rate = rate(model, nowMillis);
        rate.slow = Math.max(rate.slow, perSecond * SLOW_FADE_MILLIS / MILLIS_PER_SECOND);
        rate.fast = Math.max(rate.fast, perSecond * FAST_FADE_MILLIS / MILLIS_PER_SECOND);
    }

    /** Returns requests a second. */
    double perSecond(String model, long nowMillis) {
        if (!rates.containsKey(model)) {
            return 0;
        }
        Rate rate = rate(model, nowMillis);
        double slow = rate.slow / SLOW_FADE_MILLIS * MILLIS_PER_SECOND;
        double fast = rate.fast / FAST_FADE_MILLIS * MILLIS_PER_SECOND;
        return Math.min(slow, Math.max(fast, RARE_PER_SECOND));
    }

    boolean busy(String model, long nowMillis) {
        return perSecond(model, nowMillis) >= BUSY_PER_SECOND;
    }

    private Rate rate(String model, long nowMillis) {
        Rate rate = rates.computeIfAbsent(model, key -> new Rate());
        rate.fadeTo(nowMillis);
        return rate;
    }
}
