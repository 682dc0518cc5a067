package org.poplarwharf.internal.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.poplarwharf.internal.fleet.EngineSpec;

/**
 * Estimates the request rate of each model from two exponentially decaying counts. The slow count distinguishes rarely
 * requested models from each other; the fast count detects within seconds that demand for a busy model has ended.
 *
 * <p>Confined to one thread. Keeps one entry for each model that was ever requested.
 */
final class DemandEstimator {
    /** Time constant of the slow count; rare models are requested about every ten seconds. */
    private static final double SLOW_DECAY_MILLIS = 15_000;

    /**
     * Time constant of the fast count; busy models are requested several times a second, so a pause shows within this
     * time.
     */
    private static final double FAST_DECAY_MILLIS = 3_000;

    /** Lower bound on the fast rate, so that a model that was busy until now counts as a rare one. */
    private static final double RARE_REQUESTS_PER_SECOND = 0.1;

    /** From this rate on a model is busy: its last replica is not evicted, and it gets a second one. */
    private static final double BUSY_REQUESTS_PER_SECOND = 0.7;

    /**
     * The request rate assumed for each replica that targets hold at first; about the rate that justifies a replica.
     */
    private static final double SEED_REQUESTS_PER_SECOND_PER_REPLICA = 0.5;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Map<String, DecayingCounts> countsByModel = new HashMap<>();
    private boolean seeded;

    /** Two counts of requests that decay with the age of the requests. */
    private static final class DecayingCounts {
        private double slow;
        private double fast;
        private long atMillis;

        void decayTo(long nowMillis) {
            if (nowMillis == atMillis) {
                return;
            }
            slow *= Math.exp(-(nowMillis - atMillis) / SLOW_DECAY_MILLIS);
            fast *= Math.exp(-(nowMillis - atMillis) / FAST_DECAY_MILLIS);
            atMillis = nowMillis;
        }
    }

    /** Records a request for the model. */
    void recordRequest(String model, long nowMillis) {
        DecayingCounts counts = decayedCounts(model, nowMillis);
        counts.slow++;
        counts.fast++;
    }

    /** Seeds the estimate once targets are known: a model that several of them hold was in demand before. */
    void seedOnce(EngineSpec spec, Collection<EngineState> engines, long nowMillis) {
        if (seeded || engines.isEmpty()) {
            return;
        }
        seeded = true;
        for (String model : spec.models().keySet()) {
            long replicas = engines.stream()
                    .filter(engine -> engine.models.containsKey(model))
                    .count();
            if (replicas > 1) {
                seedRate(model, SEED_REQUESTS_PER_SECOND_PER_REPLICA * replicas, nowMillis);
            }
        }
    }

    /** Raises the estimated rate to at least the given one. */
    private void seedRate(String model, double perSecond, long nowMillis) {
        DecayingCounts counts = decayedCounts(model, nowMillis);
        counts.slow = Math.max(counts.slow, perSecond * SLOW_DECAY_MILLIS / MILLIS_PER_SECOND);
        counts.fast = Math.max(counts.fast, perSecond * FAST_DECAY_MILLIS / MILLIS_PER_SECOND);
    }

    /** Returns the estimated rate in requests per second. */
    double requestsPerSecond(String model, long nowMillis) {
        if (!countsByModel.containsKey(model)) {
            return 0;
        }
        DecayingCounts counts = decayedCounts(model, nowMillis);
        double slowPerSecond = counts.slow / SLOW_DECAY_MILLIS * MILLIS_PER_SECOND;
        double fastPerSecond = counts.fast / FAST_DECAY_MILLIS * MILLIS_PER_SECOND;
        return Math.min(slowPerSecond, Math.max(fastPerSecond, RARE_REQUESTS_PER_SECOND));
    }

    /** Returns whether the model's request rate is high enough to justify a second replica. */
    boolean isBusy(String model, long nowMillis) {
        return requestsPerSecond(model, nowMillis) >= BUSY_REQUESTS_PER_SECOND;
    }

    private DecayingCounts decayedCounts(String model, long nowMillis) {
        DecayingCounts counts = countsByModel.computeIfAbsent(model, key -> new DecayingCounts());
        counts.decayTo(nowMillis);
        return counts;
    }
}
