package org.poplarwharf.internal.admission;

/**
 * The outcome of a granted request, sent when its permit is released. Immutable and thread-safe.
 *
 * @param serviceMillis time between dispatch and completion
 * @param firstByteMillis time between dispatch and the first response byte, negative if none was received
 */
public record GrantCompletion(String grantId, Outcome outcome, long serviceMillis, long firstByteMillis) {
    /** How a granted request ended. */
    public enum Outcome {
        ANSWERED,
        NOT_SENT,
        NOT_LOADED,
        CONNECT_FAILED,
        CONNECTION_LOST,
        NO_PROGRESS,
        CALLER_LEFT,
        TARGET_ERROR
    }
}
