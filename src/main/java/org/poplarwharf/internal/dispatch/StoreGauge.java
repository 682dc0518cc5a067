package org.poplarwharf.internal.dispatch;

import java.util.Collection;

/**
 * How many loads the weight store serves at full speed, as far as loads have shown. A store that is shared by more than
 * that takes longer for each of them and gains nothing.
 *
 * <p>Invariant: at least one load is allowed. Confined to one thread.
 */
final class StoreGauge {
    /** Until loads have shown more; where the store serves one at a time, two at once would end no sooner. */
    private static final int FIRST_LIMIT = 1;

    /** Few stores serve more than this at full speed. */
    private static final int MOST = 4;

    /** One target in this many may load from the weight store at a time; the others stay free for fast loads. */
    private static final int TARGETS_FOR_EACH = 3;

    /** A load this much over its time shows that the store is shared by too many. */
    private static final double OVERDUE_SHARE = 0.3;

    /** After this the store is tried with more loads at once again. */
    private static final long SLOW_STORE_MILLIS = 60_000;

    private int limit = FIRST_LIMIT;
    private long loading;
    private boolean overdueSeen;
    private long slowUntilMillis = Long.MIN_VALUE;

    /** Looks at the loads under way: one that is overdue lowers the limit, one that has ended in time raises it. */
    void look(Collection<EngineState> engines, long nowMillis) {
        long before = loading;
        loading = 0;
        boolean overdue = false;
        for (EngineState engine : engines) {
            if (engine.loadingFromStore() && !engine.target.leaving()) {
                loading++;
                overdue |= overdue(engine, nowMillis);
            }
        }
        if (overdue) {
            overdueSeen = true;
            limit = 1;
            slowUntilMillis = nowMillis + SLOW_STORE_MILLIS;
        } else if (loading < before && before >= limit && !overdueSeen && nowMillis >= slowUntilMillis) {
            limit = Math.min(MOST, limit + 1);
        }
        overdueSeen &= loading > 0;
    }

    /** Tells whether one more load may begin. */
    boolean open(int targets) {
        return loading < Math.clamp(targets / TARGETS_FOR_EACH, 1, limit);
    }

    private static boolean overdue(EngineState engine, long nowMillis) {
        return engine.models.entrySet().stream()
                .filter(held ->
                        held.getValue().unconfirmed && engine.spec.models().containsKey(held.getKey()))
                .anyMatch(held -> nowMillis - held.getValue().readyAtMillis
                        > engine.spec.models().get(held.getKey()).storeLoadMillis() * OVERDUE_SHARE);
    }
}
