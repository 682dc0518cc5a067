package org.poplarwharf.internal.standin;

/**
 * Injected faults of the weight store stand-in. Immutable and thread-safe.
 *
 * @param outage whether fetches fail with status 503
 * @param slowDownFactor factor by which every fetch takes longer
 */
public record StoreFaults(boolean outage, double slowDownFactor) {
    /** Returns the settings of a store without faults. */
    public static StoreFaults none() {
        return new StoreFaults(false, 1);
    }
}
