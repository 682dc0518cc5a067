package org.poplarwharf.internal.failure;

import org.poplarwharf.FailureCode;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.plugins.ArtifactId;

/**
 * Creates the failures that only a caller's request can cause, through {@link Reporter}, which has all others.
 *
 * <p>Stateless and thread-safe.
 */
public final class CallerReporter {
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private CallerReporter() {}

    public static PoplarWharfException invalidRequest(String problem, String action) {
        return Reporter.failure(
                FailureCode.INVALID_REQUEST, problem, "The request is not in the documented format.", action, null);
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
                "A chat completion request must be JSON.",
                "Send Content-Type: application/json.",
                null);
    }

    public static PoplarWharfException bodyTooLarge(long limitBytes) {
        return Reporter.failure(
                FailureCode.BODY_TOO_LARGE,
                "The body is larger than " + limitBytes + " bytes.",
                "The operator configured this limit.",
                "Send a smaller body, or ask the operator to raise the limit.",
                null);
    }

    public static PoplarWharfException unknownArtifact(ArtifactId artifact) {
        boolean service = artifact.kind() == ArtifactId.Kind.SERVICE;
        return Reporter.failure(
                service ? FailureCode.UNKNOWN_SERVICE : FailureCode.UNKNOWN_MODEL,
                artifact + " is not served here.",
                "The current configuration does not contain it.",
                "Check the name, or ask an operator to add it to the configuration.",
                null);
    }

    public static PoplarWharfException notReady() {
        return retryable(
                FailureCode.NOT_READY, "This node is not ready.", "It has not received the configuration yet.", null);
    }

    public static PoplarWharfException shuttingDown() {
        return retryable(
                FailureCode.SHUTTING_DOWN, "This node is shutting down.", "It is being stopped or replaced.", null);
    }

    public static PoplarWharfException noHolder(ArtifactId artifact) {
        return retryable(
                FailureCode.NO_HOLDER,
                "No reachable node admits requests for " + artifact + ".",
                "A lease is being transferred to another node, or nodes can't connect to each other.",
                null);
    }

    public static PoplarWharfException crashSuspected(String fingerprint, long retryAfterMillis) {
        return Reporter.retryable(
                FailureCode.CRASH_SUSPECTED,
                "The request was rejected and not run (fingerprint " + fingerprint + ").",
                "The connections to two targets were lost while they ran requests with this fingerprint.",
                "Change the request, or try again after the given time.",
                retryAfterMillis,
                null);
    }

    public static PoplarWharfException overloaded(String problem) {
        return retryable(FailureCode.OVERLOADED, problem, "More requests arrive than can be served.", null);
    }

    public static PoplarWharfException deadlineExceeded(ArtifactId artifact, boolean mayHaveRun) {
        if (!mayHaveRun) {
            return Reporter.deadlineExceeded(artifact, RETRY_AFTER_MILLIS);
        }
        return Reporter.failure(
                FailureCode.DEADLINE_EXCEEDED_RUNNING,
                "The deadline passed while " + artifact + " was running the request.",
                "The target did not finish before the deadline.",
                "Try again with a later deadline; the request may have taken effect.",
                null);
    }

    public static PoplarWharfException targetUnreachable(String target, Throwable cause) {
        return retryable(
                FailureCode.TARGET_UNREACHABLE,
                "Target " + target + " could not be reached; the request was not run.",
                "The target has stopped, or the network connection to it failed.",
                cause);
    }

    public static PoplarWharfException targetRefused(String target) {
        return retryable(
                FailureCode.TARGET_REFUSED,
                "Target " + target + " refused the request; it was not run.",
                "The model or adapter that the request needs is no longer loaded there.",
                null);
    }

    public static PoplarWharfException targetFailed(String target, Throwable cause) {
        return retryable(
                FailureCode.TARGET_FAILED,
                "Target " + target + " sent no complete response.",
                "It failed, stalled or responded with an error.",
                cause);
    }

    public static PoplarWharfException streamInterrupted(String target) {
        return Reporter.failure(
                FailureCode.STREAM_INTERRUPTED,
                "The response from target " + target + " was interrupted.",
                "The target failed or the connection was lost, and no other target could continue it.",
                "Send the request again; the response received so far is incomplete.",
                null);
    }

    /** The end of a stream that a node which stops can't go on with. */
    public static PoplarWharfException streamInterruptedByStop() {
        return Reporter.failure(
                FailureCode.STREAM_INTERRUPTED,
                "The response was interrupted.",
                "This node was stopped before the response was complete.",
                "Send the request again; the response received so far is incomplete.",
                null);
    }

    /** The end of a request that a target may have run when the node stopped. */
    public static PoplarWharfException nodeStopped(ArtifactId artifact) {
        return Reporter.failure(
                FailureCode.OUTCOME_UNKNOWN,
                "The outcome of the request to " + artifact + " is unknown.",
                "This node was stopped before the response was complete.",
                "Send the request again if it may run twice.",
                null);
    }

    public static PoplarWharfException outcomeUnknown(String callKey, String reason) {
        return Reporter.failure(
                FailureCode.OUTCOME_UNKNOWN,
                "The outcome of the call with key " + callKey + " is unknown; it is not retried.",
                reason,
                "Check with the service whether the call took effect before you send it with a new key.",
                null);
    }

    public static PoplarWharfException keyReused(String callKey) {
        return Reporter.failure(
                FailureCode.KEY_REUSED,
                "Key " + callKey + " was used for another request.",
                "The method, path or body differs from the first request with this key.",
                "Use a new key for a new request.",
                null);
    }

    private static PoplarWharfException retryable(FailureCode code, String problem, String reason, Throwable cause) {
        return Reporter.retryable(code, problem, reason, "Try again after the given time.", RETRY_AFTER_MILLIS, cause);
    }
}
