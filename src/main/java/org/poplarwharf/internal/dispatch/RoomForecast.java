package org.poplarwharf.internal.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;

/**
 * Forecasts when the room of a model comes free, from the requests that were granted while others waited for it. Answers
 * bursts, and targets that turn slow: what can't start in time any more is known while its caller can still go elsewhere.
 *
 * <p>Invariant: keeps an entry only for models that requests wait for. Confined to one thread; the current time is passed
 * with each call.
 */
final class RoomForecast {
    /** Grants before this time don't count: targets' speed changes within seconds. */
    private static final double DECAY_MILLIS = 2_000;

    /** With a shorter observation nothing is forecast; several times the interval between placements. */
    private static final long MIN_OBSERVED_MILLIS = 300;

    /** The number of standard deviations by which the real rate may exceed the observed one. */
    private static final double DEVIATIONS = 2;

    private final Map<String, Observation> byModel = new HashMap<>();

    private static final class Observation {
        private final long startedMillis;
        private double grants;
        private double work;
        private long updatedMillis;

        Observation(long nowMillis) {
            startedMillis = nowMillis;
            updatedMillis = nowMillis;
        }

        void decayTo(long nowMillis) {
            double decay = Math.exp((updatedMillis - nowMillis) / DECAY_MILLIS);
            grants *= decay;
            work *= decay;
            updatedMillis = nowMillis;
        }
    }

    /** Starts to observe a model for which a request waits, unless it is observed already. */
    void recordWaiting(String model, long nowMillis) {
        byModel.computeIfAbsent(model, key -> new Observation(nowMillis));
    }

    /** Ends the observations of models that no request waits for. */
    void retainWaiting(Set<String> models) {
        byModel.keySet().retainAll(models);
    }

    /** Counts a granted request if others wait for its model. */
    void recordGrant(String model, double work, long nowMillis) {
        Observation observation = byModel.get(model);
        if (observation != null) {
            observation.decayTo(nowMillis);
            observation.grants++;
            observation.work += work;
        }
    }

    /** Returns the work per millisecond for which room comes free; empty if it was not observed for long enough. */
    OptionalDouble workPerMilli(String model, long nowMillis) {
        Observation observation = byModel.get(model);
        if (observation == null || nowMillis - observation.startedMillis < MIN_OBSERVED_MILLIS) {
            return OptionalDouble.empty();
        }
        observation.decayTo(nowMillis);
        if (observation.grants < 1) {
            return OptionalDouble.empty();
        }
        return OptionalDouble.of(observation.work / effectiveMillis(observation, nowMillis));
    }

    /** Returns the highest rate that the observation allows. */
    OptionalDouble maxWorkPerMilli(String model, long nowMillis) {
        OptionalDouble rate = workPerMilli(model, nowMillis);
        if (rate.isEmpty()) {
            return rate;
        }
        return OptionalDouble.of(rate.getAsDouble() * (1 + DEVIATIONS / Math.sqrt(byModel.get(model).grants)));
    }

    private static double effectiveMillis(Observation observation, long nowMillis) {
        return DECAY_MILLIS * (1 - Math.exp((observation.startedMillis - nowMillis) / DECAY_MILLIS));
    }
}
