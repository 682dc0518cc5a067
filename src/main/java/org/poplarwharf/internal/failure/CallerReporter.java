package org.poplarwharf.internal.failure;

import org.poplarwharf.FailureCode;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.plugins.ArtifactId;

/**
 * Words the failures that only a request to a node can meet; {@link Reporter} makes them, and words all others.
 *
 * <p>Stateless and thread-safe.
 */
public final class CallerReporter {
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private CallerReporter() {}

    public static PoplarWharfException invalidRequest(String what, String next) {
        return Reporter.failure(
                FailureCode.INVALID_REQUEST, what, "The request does not have the documented form.", next, null);
    }

    public static PoplarWharfException unknownPath(String path) {
        return Reporter.unknownPath(path, "Use /v1/chat/completions or /services/NAME/.");
    }

    public static PoplarWharfException methodNotAllowed(String method, String allowed) {
        return Reporter.methodNotAllowed(method, "This path", "Use " + allowed + ".");
    }

    public static PoplarWharfException unsupportedMediaType(String contentType) {
        return Reporter.failure(
                FailureCode.UNSUPPORTED_MEDIA_TYPE,
                "Content type '" + contentType + "' is not supported.",
                "A chat completion is JSON.",
                "Send Content-Type: application/json.",
                null);
    }

    public static PoplarWharfException bodyTooLarge(long limitBytes) {
        return Reporter.failure(
                FailureCode.BODY_TOO_LARGE,
                "The body is larger than " + limitBytes + " bytes.",
                "The operator has set this limit.",
                "Send a smaller body, or ask the operator to raise the limit.",
                null);
    }

    public static PoplarWharfException unknownArtifact(ArtifactId artifact) {
        boolean service = artifact.kind() == ArtifactId.Kind.SERVICE;
        return Reporter.failure(
                service ? FailureCode.UNKNOWN_SERVICE : FailureCode.UNKNOWN_MODEL,
                artifact + " is not served here.",
                "The configuration in force does not name it.",
                "Check the name, or ask an operator to publish it.",
                null);
    }

    public static PoplarWharfException notReady() {
        return retryable(
                FailureCode.NOT_READY, "This node is not ready.", "It has not yet learned the configuration.", null);
    }

    public static PoplarWharfException shuttingDown() {
        return retryable(FailureCode.SHUTTING_DOWN, "This node is shutting down.", "It is being replaced.", null);
    }

    public static PoplarWharfException noHolder(ArtifactId artifact) {
        return retryable(
                FailureCode.NO_HOLDER,
                "No node could be reached that admits requests for " + artifact + ".",
                "A lease is being taken over, or nodes can't reach each other.",
                null);
    }

    public static PoplarWharfException overloaded(String what) {
        return retryable(FailureCode.OVERLOADED, what, "More requests arrive than can be served.", null);
    }

    public static PoplarWharfException deadlineExceeded(ArtifactId artifact, boolean mayHaveRun) {
        if (!mayHaveRun) {
            return Reporter.deadlineExceeded(artifact, RETRY_AFTER_MILLIS);
        }
        return Reporter.failure(
                FailureCode.DEADLINE_EXCEEDED_RUNNING,
                "The deadline passed while " + artifact + " was running the request.",
                "The target took longer than the deadline allows.",
                "Try again with a later deadline; the request may have had its effect.",
                null);
    }

    public static PoplarWharfException targetUnreachable(String target, Throwable cause) {
        return retryable(
                FailureCode.TARGET_UNREACHABLE,
                "Target " + target + " could not be reached; the request was not run.",
                "It has just gone, or the network between is broken.",
                cause);
    }

    public static PoplarWharfException targetRefused(String target) {
        return retryable(
                FailureCode.TARGET_REFUSED,
                "Target " + target + " refused the request; it was not run.",
                "It no longer holds what the request needs.",
                null);
    }

    public static PoplarWharfException targetFailed(String target, Throwable cause) {
        return retryable(
                FailureCode.TARGET_FAILED,
                "Target " + target + " gave no whole answer.",
                "It died, stalled or answered with an error.",
                cause);
    }

    public static PoplarWharfException streamInterrupted(String target) {
        return Reporter.failure(
                FailureCode.STREAM_INTERRUPTED,
                "The answer from target " + target + " broke off.",
                "The target died or its connection was lost, and no other could go on.",
                "Send the request again; what was received is not whole.",
                null);
    }

    public static PoplarWharfException outcomeUnknown(String callKey, String why) {
        return Reporter.failure(
                FailureCode.OUTCOME_UNKNOWN,
                "Whether the call with key " + callKey + " took effect is not known; it is not repeated.",
                why,
                "Check at the service whether it took effect before sending it under a new key.",
                null);
    }

    public static PoplarWharfException keyReused(String callKey) {
        return Reporter.failure(
                FailureCode.KEY_REUSED,
                "Key " + callKey + " was used for another request.",
                "Method, path or body differ from the first request with this key.",
                "Use a new key for a new request.",
                null);
    }

    private static PoplarWharfException retryable(FailureCode code, String what, String why, Throwable cause) {
        return Reporter.retryable(code, what, why, "Try again after the given time.", RETRY_AFTER_MILLIS, cause);
    }
}
