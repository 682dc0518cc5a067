package org.poplarwharf.internal.idle;

/**
 * Computes how much longer a small artifact is kept loaded than a large one. Idle time costs memory in proportion to
 * the size, whereas a cold start makes a caller wait whatever the size. Stateless and thread-safe.
 */
final class SizeWeight {
    private static final double BYTES_PER_GIB = 1024.0 * 1024 * 1024;
    private static final double REFERENCE_BYTES = 16 * BYTES_PER_GIB;
    private static final double MIN_FACTOR = 0.5;
    private static final double MAX_FACTOR = 32;

    private SizeWeight() {}

    /** Returns the factor to apply to the keep-alive of an artifact of the reference size. */
    static double keepAliveFactor(long sizeBytes) {
        double factor = REFERENCE_BYTES / Math.max(1, sizeBytes);
        return Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor));
    }
}
