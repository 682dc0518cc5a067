package org.poplarwharf.internal.cell;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.poplarwharf.internal.cell.PlanInput.SlotKey;

/**
 * Limits loads from the weight store, of all cells that this node holds, by a token bucket and by a maximum number of
 * concurrent loads.
 *
 * <p>Invariant: at most {@code maxConcurrentLoads} loads run at a time, counted from their start and not only once the log
 * shows them. Starts keep to the configured rate after a
 * burst of as many loads. Confined to the control thread.
 */
final class StoreLoadLimiter {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final double startsPerSecond;
    private final int maxConcurrentLoads;
    private final Map<String, Set<SlotKey>> loadsByCell = new HashMap<>();
    private double tokens;
    private long refilledMillis;

    StoreLoadLimiter(double startsPerSecond, int maxConcurrentLoads, long nowMillis) {
        this.startsPerSecond = startsPerSecond;
        this.maxConcurrentLoads = maxConcurrentLoads;
        this.tokens = maxConcurrentLoads;
        this.refilledMillis = nowMillis;
    }

    /** Replaces the loads of a cell that run now. */
    void setLoads(String cell, Set<SlotKey> loads) {
        loadsByCell.put(cell, new HashSet<>(loads));
    }

    /** Starts a load of a cell if the store serves one more and a token is available. */
    boolean tryStart(String cell, SlotKey load, long nowMillis) {
        refill(nowMillis);
        int loading = loadsByCell.values().stream().mapToInt(Set::size).sum();
        if (loading >= maxConcurrentLoads || tokens < 1) {
            return false;
        }
        tokens--;
        loadsByCell.computeIfAbsent(cell, name -> new HashSet<>()).add(load);
        return true;
    }

    /** Returns how long a load waits that has {@code ahead} others before it in the queue. */
    long waitMillis(int ahead, long nowMillis) {
        refill(nowMillis);
        double missingTokens = ahead + 1 - tokens;
        return missingTokens <= 0 ? 0 : (long) Math.ceil(missingTokens / startsPerSecond * MILLIS_PER_SECOND);
    }

    private void refill(long nowMillis) {
        double addedTokens = (nowMillis - refilledMillis) / MILLIS_PER_SECOND * startsPerSecond;
        tokens = Math.min(maxConcurrentLoads, tokens + addedTokens);
        refilledMillis = nowMillis;
    }
}
