package org.poplarwharf.internal.cell;

/**
 * Limits loads to the weight store's rate and its places at full speed.
 *
 * <p>Invariant: never more than {@code places} loads hold a place, and starts keep to the rate after a burst of as many
 * as there are places. Belongs to the control thread.
 */
final class StoreBudget {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final double startsPerSecond;
    private final int places;
    private double tokens;
    private long refilledMillis;

    StoreBudget(double startsPerSecond, int places, long nowMillis) {
        this.startsPerSecond = startsPerSecond;
        this.places = places;
        this.tokens = places;
        this.refilledMillis = nowMillis;
    }

    /** Takes a start if one is free, given how many loads hold a place now. */
    boolean tryStart(int loading, long nowMillis) {
        refill(nowMillis);
        if (loading >= places || tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /** Returns how long a load waits that has {@code ahead} others before it. */
    long waitMillis(int ahead, long nowMillis) {
        refill(nowMillis);
        double missing = ahead + 1 - tokens;
        return missing <= 0 ? 0 : (long) Math.ceil(missing / startsPerSecond * MILLIS_PER_SECOND);
    }

    private void refill(long nowMillis) {
        double added = (nowMillis - refilledMillis) / MILLIS_PER_SECOND * startsPerSecond;
        tokens = Math.min(places, tokens + added);
        refilledMillis = nowMillis;
    }
}
