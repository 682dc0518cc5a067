package org.poplarwharf.internal.standin;

/**
 * Faults of the weight store stand-in. Immutable and thread-safe.
 *
 * @param outage fetches are answered with 503
 * @param slowDownFactor every fetch takes this many times as long
 */
public record StoreFaults(boolean outage, double slowDownFactor) {
    /** Returns the faults of a store that works. */
    public static StoreFaults none() {
        return new StoreFaults(false, 1);
    }
}
