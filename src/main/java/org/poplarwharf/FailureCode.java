package org.poplarwharf;

/**
 * The stable code of a failure, used in logs, metrics and {@code application/problem+json} responses.
 *
 * <p>Invariant: the text, HTTP status and meaning of a published code never change. Immutable and thread-safe.
 */
public enum FailureCode {
    INVALID_REQUEST("invalid-request", 400, Ran.NO),
    UNAUTHORIZED("unauthorized", 401, Ran.NO),
    UNKNOWN_KEY("unknown-key", 401, Ran.NO),
    QUOTA_EXCEEDED("quota-exceeded", 429, Ran.NO),
    UNKNOWN_MODEL("unknown-model", 404, Ran.NO),
    UNKNOWN_SERVICE("unknown-service", 404, Ran.NO),
    UNKNOWN_PATH("unknown-path", 404, Ran.NO),
    METHOD_NOT_ALLOWED("method-not-allowed", 405, Ran.NO),
    IN_PROGRESS("in-progress", 409, Ran.UNKNOWN),
    KEY_REUSED("key-reused", 422, Ran.NO),
    BODY_TOO_LARGE("body-too-large", 413, Ran.NO),
    UNSUPPORTED_MEDIA_TYPE("unsupported-media-type", 415, Ran.NO),
    REQUEST_CONDEMNED("request-condemned", 422, Ran.NO),
    QUEUE_FULL("queue-full", 429, Ran.NO),
    OVERLOADED("overloaded", 503, Ran.NO),
    CRASH_SUSPECTED("crash-suspected", 503, Ran.NO),
    DEADLINE_UNREACHABLE("deadline-unreachable", 503, Ran.NO),
    DEADLINE_EXCEEDED("deadline-exceeded", 504, Ran.NO),
    DEADLINE_EXCEEDED_RUNNING("deadline-exceeded-running", 504, Ran.UNKNOWN),
    LOG_UNAVAILABLE("log-unavailable", 503, Ran.NO),
    NO_CAPACITY("no-capacity", 503, Ran.NO),
    NO_HOLDER("no-holder", 503, Ran.NO),
    NOT_READY("not-ready", 503, Ran.NO),
    SHUTTING_DOWN("shutting-down", 503, Ran.NO),
    TARGET_UNREACHABLE("target-unreachable", 502, Ran.NO),
    TARGET_FAILED("target-failed", 502, Ran.UNKNOWN),
    TARGET_REFUSED("target-refused", 502, Ran.NO),
    STREAM_VERSION_UNAVAILABLE("stream-version-unavailable", 503, Ran.NO),
    STREAM_INTERRUPTED("stream-interrupted", 502, Ran.YES),
    OUTCOME_UNKNOWN("outcome-unknown", 502, Ran.UNKNOWN),
    CONFIG_INVALID("config-invalid", 422, Ran.NO),
    CONFIG_CONFLICT("config-conflict", 409, Ran.NO),
    SETTINGS_INVALID("settings-invalid", 500, Ran.NO),
    MALFORMED_MESSAGE("malformed-message", 502, Ran.NO),
    LOG_OUTCOME_UNKNOWN("log-outcome-unknown", 503, Ran.UNKNOWN),
    LOG_GAP("log-gap", 503, Ran.NO),
    INTERNAL("internal", 500, Ran.UNKNOWN);

    /** Whether a target ran the request that failed. */
    public enum Ran {
        YES,
        NO,
        UNKNOWN;

        /** Returns the form used in problem documents: {@code yes}, {@code no} or {@code unknown}. */
        public String text() {
            return name().toLowerCase(java.util.Locale.ROOT);
        }
    }

    private final String text;
    private final int httpStatus;
    private final Ran ran;

    FailureCode(String text, int httpStatus, Ran ran) {
        this.text = text;
        this.httpStatus = httpStatus;
        this.ran = ran;
    }

    /** Returns the text form of the code, for example {@code queue-full}. */
    public String text() {
        return text;
    }

    /** Returns the HTTP status of responses with this code. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Returns whether a request that failed with this code was run by a target. */
    public Ran ran() {
        return ran;
    }
}
