package org.poplarwharf.internal.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.poplarwharf.internal.fleet.EngineModelSpec;

/**
 * Adapts the number of concurrent loads from the weight store to what the store serves at full speed. Beyond that
 * number each load takes longer and the total throughput doesn't increase.
 *
 * <p>Invariants: the limit is at least one load; planned and ordered loads count as well as those in progress, so that
 * no pass over many missing models starts more than the limit. Confined to one thread.
 */
final class StoreConcurrencyLimit {
    /**
     * The limit before any load was observed; if the store serves one at a time, two concurrent loads would finish no
     * sooner.
     */
    private static final int INITIAL_LOAD_COUNT = 1;

    /** Upper bound of the limit; few stores serve more loads than this at full speed. */
    private static final int MAX_LOAD_COUNT = 4;

    /** At most one target in this many loads from the weight store at a time; the others stay free for fast loads. */
    private static final int TARGET_COUNT_PER_LOAD = 3;

    /** After an overdue load the limit isn't raised for this long. */
    private static final long SLOW_STORE_HOLD_MILLIS = 60_000;

    private int limit = INITIAL_LOAD_COUNT;
    private int committedCount;
    private int maxLoadCount;
    private long loweredMillis = Long.MIN_VALUE / 2;

    /** The model that each target was loading from the store at the last update. */
    private Map<EngineState, String> loading = Map.of();

    /** Targets with loads that were in progress together when the limit was reached, until all of them have ended. */
    private final Set<EngineState> probe = new HashSet<>();

    private boolean probeSucceeded;

    /**
     * Updates the limit from the loads in progress. A late load that began under the present limit lowers it; if the loads
     * that reached the limit have all ended in time, it is raised.
     */
    void update(Collection<EngineState> engines, long nowMillis) {
        Map<EngineState, String> previous = loading;
        loading = new HashMap<>();
        committedCount = 0;
        boolean late = false;
        for (EngineState engine : engines) {
            if (!engine.isBelievedToCarryOutOrders(nowMillis)) {
                continue;
            }
            committedCount += engine.loads.occupiesStore() ? 1 : 0;
            engine.loads.modelLoadingFromStore().ifPresent(model -> loading.put(engine, model));
            late |= hasLateLoad(engine, nowMillis);
        }
        maxLoadCount = Math.max(maxLoadCount, loading.size());
        if (late) {
            lower(nowMillis);
        } else {
            updateProbe(previous, nowMillis);
        }
    }

    private void lower(long nowMillis) {
        limit = Math.clamp(maxLoadCount - 1, 1, limit);
        maxLoadCount = loading.size();
        loweredMillis = nowMillis;
        probe.clear();
    }

    private void updateProbe(Map<EngineState, String> previous, long nowMillis) {
        for (EngineState engine : previous.keySet()) {
            if (!loading.containsKey(engine) && probe.remove(engine)) {
                probeSucceeded |= engine.isReady(previous.get(engine), nowMillis);
            }
        }
        if (!probe.isEmpty()) {
            return;
        }
        if (probeSucceeded && nowMillis - loweredMillis >= SLOW_STORE_HOLD_MILLIS) {
            limit = Math.min(MAX_LOAD_COUNT, limit + 1);
        }
        probeSucceeded = false;
        if (loading.size() >= limit) {
            probe.addAll(loading.keySet());
        }
    }

    /** Counts a load that was planned since the last update. */
    void recordPlanned() {
        committedCount++;
    }

    /** Returns whether one more load may be planned. */
    boolean allowsLoad(int targetCount) {
        return committedCount < Math.clamp(targetCount / TARGET_COUNT_PER_LOAD, 1, limit);
    }

    int limit() {
        return limit;
    }

    /** Returns the models whose loads from the store were in progress at the last update. */
    Collection<String> modelsLoading() {
        return loading.values();
    }

    /** Returns whether a load that began under the present limit is late. */
    private boolean hasLateLoad(EngineState engine, long nowMillis) {
        for (Map.Entry<String, ModelInstance> entry : engine.models.entrySet()) {
            EngineModelSpec model = engine.spec.models().get(entry.getKey());
            if (engine.loads.isLoadLate(entry.getKey(), nowMillis)
                    && entry.getValue().readyAtMillis - model.storeLoadMillis() >= loweredMillis) {
                return true;
            }
        }
        return false;
    }
}
