package org.poplarwharf.internal.standin;

import java.util.List;
import java.util.Optional;
import org.poplarwharf.plugins.ArtifactId;

/**
 * Capacity and timing of an engine stand-in. Immutable and thread-safe.
 *
 * @param memoryBytes accelerator memory; loads beyond it are executed and journalled as a breach
 * @param maxRunning maximum number of concurrent requests; further ones are queued by priority
 * @param prefillMillis time before the first token
 * @param tokenMillis time between tokens
 * @param defaultTokens length of a response whose request has no {@code max_tokens}
 * @param fencingEnabled whether orders with an outdated fencing number are rejected
 * @param reportLagMillis age of the load figures in a report
 * @param storeAddress address of the weight store; without one all artifacts load at the speed of near copies
 * @param nearBytesPerSecond loading speed from a near copy
 * @param nearCopyLimit maximum number of near copies; the most recently loaded ones are kept
 * @param nearCopies near copies that exist at startup
 * @param unloadMillis duration of an unload
 */
public record EngineSettings(
        long memoryBytes,
        int maxRunning,
        long prefillMillis,
        long tokenMillis,
        int defaultTokens,
        boolean fencingEnabled,
        long reportLagMillis,
        Optional<String> storeAddress,
        double nearBytesPerSecond,
        int nearCopyLimit,
        List<ArtifactId> nearCopies,
        long unloadMillis) {
    private static final long DEFAULT_MEMORY_BYTES = 80_000_000_000L;
    private static final int DEFAULT_MAX_RUNNING = 8;
    private static final long DEFAULT_PREFILL_MILLIS = 20;
    private static final long DEFAULT_TOKEN_MILLIS = 5;
    private static final int DEFAULT_RESPONSE_TOKENS = 16;
    private static final long DEFAULT_REPORT_LAG_MILLIS = 300;
    private static final double DEFAULT_NEAR_BYTES_PER_SECOND = 2e10;
    private static final int DEFAULT_NEAR_COPY_LIMIT = 3;
    private static final long DEFAULT_UNLOAD_MILLIS = 50;

    /** Returns default settings with fencing enabled and weights from the given store. */
    public static EngineSettings defaults(Optional<String> storeAddress) {
        return new EngineSettings(
                DEFAULT_MEMORY_BYTES,
                DEFAULT_MAX_RUNNING,
                DEFAULT_PREFILL_MILLIS,
                DEFAULT_TOKEN_MILLIS,
                DEFAULT_RESPONSE_TOKENS,
                true,
                DEFAULT_REPORT_LAG_MILLIS,
                storeAddress,
                DEFAULT_NEAR_BYTES_PER_SECOND,
                DEFAULT_NEAR_COPY_LIMIT,
                List.of(),
                DEFAULT_UNLOAD_MILLIS);
    }
}
