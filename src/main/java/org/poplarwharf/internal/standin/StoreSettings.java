package org.poplarwharf.internal.standin;

/**
 * Limits of the weight store stand-in. Immutable and thread-safe.
 *
 * @param loadsPerSecond maximum rate of fetches; fetches beyond it are delayed
 * @param fullSpeedFetches number of concurrent fetches at full speed; more fetches share that bandwidth
 * @param bytesPerSecond full speed of one fetch
 */
public record StoreSettings(double loadsPerSecond, int fullSpeedFetches, double bytesPerSecond) {
    private static final double DEFAULT_LOADS_PER_SECOND = 1.5;
    private static final int DEFAULT_FULL_SPEED_FETCHES = 4;
    private static final double DEFAULT_BYTES_PER_SECOND = 2e9;

    /** Returns the limits of the platform's weight store. */
    public static StoreSettings defaults() {
        return new StoreSettings(DEFAULT_LOADS_PER_SECOND, DEFAULT_FULL_SPEED_FETCHES, DEFAULT_BYTES_PER_SECOND);
    }
}
