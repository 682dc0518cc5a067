package org.poplarwharf.internal.idle;

/**
 * How much longer a small artifact is worth keeping than a large one: idle time is paid by memory, while each cold start
 * keeps a caller waiting whatever the size. Stateless and thread-safe.
 */
final class SizeWeight {
    private static final double BYTES_PER_GIB = 1024.0 * 1024 * 1024;
    private static final double REFERENCE_BYTES = 16 * BYTES_PER_GIB;
    private static final double LEAST = 0.5;
    private static final double MOST = 32;

    private SizeWeight() {}

    /** Returns the factor on the keep-alive of an artifact of the reference size. */
    static double keepAliveFactor(long sizeBytes) {
        double weight = REFERENCE_BYTES / Math.max(1, sizeBytes);
        return Math.min(MOST, Math.max(LEAST, weight));
    }
}
