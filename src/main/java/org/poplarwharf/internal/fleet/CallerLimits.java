package org.poplarwharf.internal.fleet;

/** Limits on the size and the timing of a caller's request. Immutable and thread-safe. */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /**
     * Limits that apply until the first configuration arrives. They are generous because the operator's limits replace
     * them.
     */
    public static final CallerLimits DEFAULTS = new CallerLimits(65_536, 8_388_608, 5_000, 30_000);
}
