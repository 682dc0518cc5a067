package org.poplarwharf.internal.standin;

/**
 * Limits of the weight store stand-in. Immutable and thread-safe.
 *
 * @param loadsPerSecond fetches beyond this rate wait for their turn
 * @param fullSpeedPlaces fetches served at once at full speed; more share the speed of these
 * @param bytesPerSecond full speed of one fetch
 */
public record StoreSettings(double loadsPerSecond, int fullSpeedPlaces, double bytesPerSecond) {
    private static final double DEFAULT_LOADS_PER_SECOND = 1.5;
    private static final int DEFAULT_PLACES = 4;
    private static final double DEFAULT_BYTES_PER_SECOND = 2e9;

    /** Returns limits like those of the platform. */
    public static StoreSettings defaults() {
        return new StoreSettings(DEFAULT_LOADS_PER_SECOND, DEFAULT_PLACES, DEFAULT_BYTES_PER_SECOND);
    }
}
