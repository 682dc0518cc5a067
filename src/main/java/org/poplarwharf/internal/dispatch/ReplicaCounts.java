package org.poplarwharf.internal.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * The number of targets that hold each model, counted once for all decisions made at the same time. Immutable.
 */
final class ReplicaCounts {
    private final Map<String, Integer> heldCounts = new HashMap<>();
    private final Map<String, Integer> servingCounts = new HashMap<>();
    private final long nowMillis;

    private ReplicaCounts(long nowMillis) {
        this.nowMillis = nowMillis;
    }

    /** Counts the replicas of each model over the given targets. */
    static ReplicaCounts count(Collection<EngineState> engines, long nowMillis) {
        ReplicaCounts replicas = new ReplicaCounts(nowMillis);
        for (EngineState engine : engines) {
            boolean engineAccepts = engine.acceptsRequests(nowMillis);
            for (Map.Entry<String, ModelInstance> entry : engine.models.entrySet()) {
                replicas.heldCounts.merge(entry.getKey(), 1, Integer::sum);
                if (engineAccepts && replicas.acceptsRequests(entry.getValue())) {
                    replicas.servingCounts.merge(entry.getKey(), 1, Integer::sum);
                }
            }
        }
        return replicas;
    }

    /** Returns whether a target other than this one holds the model. */
    boolean isHeldElsewhere(EngineState engine, String model) {
        return heldCounts.getOrDefault(model, 0) > (engine.models.containsKey(model) ? 1 : 0);
    }

    /** Returns whether a target other than this one accepts requests for the model. */
    boolean isServedElsewhere(EngineState engine, String model) {
        ModelInstance own = engine.models.get(model);
        boolean servedHere = own != null && engine.acceptsRequests(nowMillis) && acceptsRequests(own);
        return servingCounts.getOrDefault(model, 0) > (servedHere ? 1 : 0);
    }

    private boolean acceptsRequests(ModelInstance instance) {
        return !instance.draining && instance.isReady(nowMillis);
    }
}
