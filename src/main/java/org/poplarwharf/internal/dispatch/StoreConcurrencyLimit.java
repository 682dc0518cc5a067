package org.poplarwharf.internal.dispatch;

import java.util.Collection;

/**
 * Adapts the number of concurrent loads from the weight store to what the store serves at full speed. Beyond that
 * number each load takes longer and the total throughput doesn't increase.
 *
 * <p>Invariant: the limit is at least one load. Confined to one thread.
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

    /** A load that exceeds its expected time by this share shows that the store serves too many concurrent loads. */
    private static final double OVERDUE_RATIO = 0.3;

    /** After an overdue load the limit isn't raised for this long. */
    private static final long SLOW_STORE_HOLD_MILLIS = 60_000;

    private int limit = INITIAL_LOAD_COUNT;
    private long loadCount;
    private boolean overdueObserved;
    private long noIncreaseUntilMillis = Long.MIN_VALUE;

    /**
     * Updates the limit from the loads in progress: an overdue load lowers it to one, a load that ended in time raises
     * it.
     */
    void update(Collection<EngineState> engines, long nowMillis) {
        long previousCount = loadCount;
        loadCount = 0;
        boolean overdue = false;
        for (EngineState engine : engines) {
            if (engine.isLoadingFromStore() && !engine.target.leaving()) {
                loadCount++;
                overdue |= isOverdue(engine, nowMillis);
            }
        }
        if (overdue) {
            overdueObserved = true;
            limit = 1;
            noIncreaseUntilMillis = nowMillis + SLOW_STORE_HOLD_MILLIS;
        } else if (loadCount < previousCount
                && previousCount >= limit
                && !overdueObserved
                && nowMillis >= noIncreaseUntilMillis) {
            limit = Math.min(MAX_LOAD_COUNT, limit + 1);
        }
        overdueObserved &= loadCount > 0;
    }

    /** Returns whether one more load may start. */
    boolean allowsLoad(int targetCount) {
        return loadCount < Math.clamp(targetCount / TARGET_COUNT_PER_LOAD, 1, limit);
    }

    private static boolean isOverdue(EngineState engine, long nowMillis) {
        return engine.models.entrySet().stream()
                .filter(entry ->
                        entry.getValue().unconfirmed && engine.spec.models().containsKey(entry.getKey()))
                .anyMatch(entry -> nowMillis - entry.getValue().readyAtMillis
                        > engine.spec.models().get(entry.getKey()).storeLoadMillis() * OVERDUE_RATIO);
    }
}
