package org.poplarwharf.internal.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * How many targets hold each model, counted once for all that is decided at one moment. Immutable.
 */
final class Replicas {
    private final Map<String, Integer> holding = new HashMap<>();
    private final Map<String, Integer> serving = new HashMap<>();
    private final long nowMillis;

    private Replicas(long nowMillis) {
        this.nowMillis = nowMillis;
    }

    static Replicas count(Collection<EngineState> engines, long nowMillis) {
        Replicas replicas = new Replicas(nowMillis);
        for (EngineState engine : engines) {
            boolean takesWork = engine.takesWork(nowMillis);
            for (Map.Entry<String, Residency> held : engine.models.entrySet()) {
                replicas.holding.merge(held.getKey(), 1, Integer::sum);
                if (takesWork && replicas.serves(held.getValue())) {
                    replicas.serving.merge(held.getKey(), 1, Integer::sum);
                }
            }
        }
        return replicas;
    }

    /** Tells whether a target other than this one holds a model that this one holds. */
    boolean heldBeside(EngineState engine, String model) {
        return holding.getOrDefault(model, 0) > (engine.models.containsKey(model) ? 1 : 0);
    }

    /** Tells whether a target other than this one takes requests for a model. */
    boolean servedBeside(EngineState engine, String model) {
        Residency own = engine.models.get(model);
        boolean ownServes = own != null && engine.takesWork(nowMillis) && serves(own);
        return serving.getOrDefault(model, 0) > (ownServes ? 1 : 0);
    }

    private boolean serves(Residency held) {
        return !held.retiring && held.ready(nowMillis);
    }
}
