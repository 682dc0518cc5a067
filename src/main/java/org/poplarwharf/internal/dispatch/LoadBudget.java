package org.poplarwharf.internal.dispatch;

/**
 * Bounds the loads from the weight store that begin within a sliding window, over all targets.
 *
 * <p>Invariant: within any window no more loads begin than the store's rate allows, for a budget that starts empty of
 * history: the first window also counts what another node may have ordered before. Confined to one thread.
 */
final class LoadBudget {
    private final double perSecond;
    private final long windowMillis;
    private final double factor;
    private final RecentTimes begun = new RecentTimes();

    LoadBudget(double perSecond, long windowMillis, double factor) {
        this.perSecond = perSecond;
        this.windowMillis = windowMillis;
        this.factor = factor;
    }

    /** Tells whether a load may begin now and still leave the given number for others. */
    boolean allows(long nowMillis, int spare) {
        return begun.count(nowMillis, windowMillis) + 1 + spare <= perSecond * windowMillis / 1_000 * factor;
    }

    void begin(long nowMillis) {
        begun.add(nowMillis, windowMillis);
    }
}
