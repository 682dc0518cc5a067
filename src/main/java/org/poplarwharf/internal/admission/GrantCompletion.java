package org.poplarwharf.internal.admission;

/**
 * Tells how a granted place was used. Immutable and thread-safe.
 *
 * @param serviceMillis time between dispatch and end
 * @param firstByteMillis time between dispatch and the first byte, negative when none came
 */
public record GrantCompletion(String grantId, Outcome outcome, long serviceMillis, long firstByteMillis) {
    /** How the use of a place ended. */
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
