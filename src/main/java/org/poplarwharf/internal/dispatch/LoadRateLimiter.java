package org.poplarwharf.internal.dispatch;

/**
 * Limits the number of loads from the weight store, over all targets, that start within a sliding window.
 *
 * <p>Invariant: of the loads recorded here, no more start within any window than the store's rate times the rate factor
 * allows. The limiter starts with no history, so the first window doesn't include loads that a previous lease holder
 * ordered. Confined to one thread.
 */
final class LoadRateLimiter {
    private final double loadsPerSecond;
    private final long windowMillis;
    private final double rateFactor;
    private final SlidingWindowCounter starts = new SlidingWindowCounter();

    LoadRateLimiter(double loadsPerSecond, long windowMillis, double rateFactor) {
        this.loadsPerSecond = loadsPerSecond;
        this.windowMillis = windowMillis;
        this.rateFactor = rateFactor;
    }

    /** Returns whether a load may start now and still leave the given number of loads in the window. */
    boolean allows(long nowMillis, int reservedLoads) {
        return starts.count(nowMillis, windowMillis) + 1 + reservedLoads
                <= loadsPerSecond * windowMillis / 1_000 * rateFactor;
    }

    /** Records that a load has started. */
    void recordStart(long nowMillis) {
        starts.add(nowMillis, windowMillis);
    }
}
