package org.poplarwharf.internal.dispatch;

import java.util.HashSet;
import java.util.Set;

/**
 * Limits the number of loads from the weight store, over all targets, that start within a sliding window.
 *
 * <p>Invariant: of the loads ordered here, no more start within any window than the store's rate times the rate factor
 * allows; an order without a result counts as a load that is about to start. The limiter starts with no history, so the
 * first window doesn't include loads that a previous lease holder ordered. Confined to one thread.
 */
final class LoadRateLimiter {
    private final double loadsPerSecond;
    private final long windowMillis;
    private final double rateFactor;
    private final SlidingWindowCounter starts = new SlidingWindowCounter();
    private final Set<EngineOrder> withoutResult = new HashSet<>();

    LoadRateLimiter(double loadsPerSecond, long windowMillis, double rateFactor) {
        this.loadsPerSecond = loadsPerSecond;
        this.windowMillis = windowMillis;
        this.rateFactor = rateFactor;
    }

    /** Returns whether a load may start now and still leave the given number of loads in the window. */
    boolean allows(long nowMillis, int reservedLoads) {
        return starts.count(nowMillis, windowMillis) + withoutResult.size() + 1 + reservedLoads
                <= loadsPerSecond * windowMillis / 1_000 * rateFactor;
    }

    /** Records that a load from the store was ordered. */
    void recordOrder(EngineOrder order) {
        withoutResult.add(order);
    }

    /** Records the result of an order, which has no effect on the rate unless it was recorded here. */
    void recordResult(EngineOrder order, boolean mayHaveStarted, long nowMillis) {
        if (withoutResult.remove(order) && mayHaveStarted) {
            starts.add(nowMillis, windowMillis);
        }
    }
}
