package org.poplarwharf.internal.quota;

/**
 * Units that become available at a rate and are saved up to a capacity. Starts empty.
 *
 * <p>Invariant: within any time {@code t}, no more than {@code rate x t + capacity + debt} units are taken, where the debt is
 * what a single caller of {@link #take} takes beyond the available units. Confined to one thread; the current time is
 * passed with each call.
 */
final class UnitBucket {
    private static final double MILLIS_PER_SECOND = 1_000;

    private double unitsPerMilli;
    private double capacity;
    private double units;
    private long updatedMillis;

    UnitBucket(double unitsPerSecond, double capacity, long nowMillis) {
        this.unitsPerMilli = unitsPerSecond / MILLIS_PER_SECOND;
        this.capacity = capacity;
        this.updatedMillis = nowMillis;
    }

    /** Changes the rate and the capacity; saved units beyond the capacity are lost. */
    void setLimits(double unitsPerSecond, double newCapacity, long nowMillis) {
        refill(nowMillis);
        unitsPerMilli = unitsPerSecond / MILLIS_PER_SECOND;
        capacity = newCapacity;
        units = Math.min(units, capacity);
    }

    /** Returns the units that are available now; negative after more than that was taken. */
    double available(long nowMillis) {
        refill(nowMillis);
        return units;
    }

    double capacity() {
        return capacity;
    }

    void take(double taken, long nowMillis) {
        refill(nowMillis);
        units -= taken;
    }

    /** Adds units that were taken and not used. */
    void giveBack(double unused, long nowMillis) {
        refill(nowMillis);
        units = Math.min(capacity, units + unused);
    }

    /** Drops the saved units. A debt stays. */
    void empty(long nowMillis) {
        refill(nowMillis);
        units = Math.min(units, 0);
    }

    /** Returns the time until the given units are available; zero if they are. */
    double waitMillis(double wanted, long nowMillis) {
        double missing = wanted - available(nowMillis);
        if (missing <= 0) {
            return 0;
        }
        return unitsPerMilli > 0 ? missing / unitsPerMilli : Double.MAX_VALUE;
    }

    private void refill(long nowMillis) {
        units = Math.min(capacity, units + (nowMillis - updatedMillis) * unitsPerMilli);
        updatedMillis = nowMillis;
    }
}
