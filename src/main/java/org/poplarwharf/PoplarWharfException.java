package org.poplarwharf;

import java.util.OptionalLong;

/**
 * The exception for all failures that poplarwharf reports. The message says what happened, the likely reason and what to
 * do next.
 *
 * <p>Created only by the internal failure reporter. Immutable and thread-safe.
 *
 * <pre>{@code
 * try {
 *     settings.check();
 * } catch (PoplarWharfException failure) {
 *     System.err.println(failure.code().text() + ": " + failure.getMessage());
 * }
 * }</pre>
 */
public final class PoplarWharfException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final FailureCode code;
    private final long retryAfterMillis;

    /**
     * Creates a failure.
     *
     * @param code the stable code
     * @param message what happened, the likely reason, and what to do next
     * @param retryAfterMillis when a caller may try again, in milliseconds from now; negative if a retry does not help
     * @param cause the underlying failure, or null
     */
    public PoplarWharfException(FailureCode code, String message, long retryAfterMillis, Throwable cause) {
        super(message, cause);
        this.code = code;
        this.retryAfterMillis = retryAfterMillis;
    }

    /** Returns the stable code. */
    public FailureCode code() {
        return code;
    }

    /** Returns when a caller may try again, in milliseconds from now; empty if a retry does not help. */
    public OptionalLong retryAfterMillis() {
        return retryAfterMillis < 0 ? OptionalLong.empty() : OptionalLong.of(retryAfterMillis);
    }
}
