package org.poplarwharf.internal.fleet;

/** What a caller may send, and how long it may take. Immutable and thread-safe. */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** In force until a configuration says otherwise; generous, since the operator's limits replace it. */
    public static final CallerLimits UNTIL_CONFIGURED = new CallerLimits(65_536, 8_388_608, 5_000, 30_000);
}
