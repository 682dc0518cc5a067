package org.poplarwharf.internal.standin;

import java.util.List;
import java.util.Optional;
import org.poplarwharf.plugins.ArtifactId;

/**
 * Abilities of an engine stand-in. Immutable and thread-safe.
 *
 * @param memoryBytes accelerator memory; more is taken when ordered, and recorded as a breach
 * @param maxRunning requests that run in one batch; more are queued by priority
 * @param prefillMillis time before the first token
 * @param tokenMillis time between tokens
 * @param defaultTokens length of an answer when the request names none
 * @param fencing whether orders with an old fencing number are refused
 * @param reportLagMillis how old the load figures of a report are
 * @param storeAddress where weights come from; without one all load at the speed of near copies
 * @param nearBytesPerSecond speed of loading from a near copy
 * @param nearCopyLimit how many near copies are kept, the latest used ones
 * @param nearCopies near copies at the start
 * @param unloadMillis how long an unload takes
 */
public record EngineSettings(
        long memoryBytes,
        int maxRunning,
        long prefillMillis,
        long tokenMillis,
        int defaultTokens,
        boolean fencing,
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
    private static final int DEFAULT_TOKENS = 16;
    private static final long DEFAULT_REPORT_LAG_MILLIS = 300;
    private static final double DEFAULT_NEAR_BYTES_PER_SECOND = 2e10;
    private static final int DEFAULT_NEAR_COPIES = 3;
    private static final long DEFAULT_UNLOAD_MILLIS = 50;

    /** Returns an engine that fences and loads from the store at the address. */
    public static EngineSettings defaults(Optional<String> storeAddress) {
        return new EngineSettings(
                DEFAULT_MEMORY_BYTES,
                DEFAULT_MAX_RUNNING,
                DEFAULT_PREFILL_MILLIS,
                DEFAULT_TOKEN_MILLIS,
                DEFAULT_TOKENS,
                true,
                DEFAULT_REPORT_LAG_MILLIS,
                storeAddress,
                DEFAULT_NEAR_BYTES_PER_SECOND,
                DEFAULT_NEAR_COPIES,
                List.of(),
                DEFAULT_UNLOAD_MILLIS);
    }
}
