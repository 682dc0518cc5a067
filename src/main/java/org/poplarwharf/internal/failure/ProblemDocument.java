package org.poplarwharf.internal.failure;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.OptionalLong;
import org.poplarwharf.FailureCode;
import org.poplarwharf.PoplarWharfException;

/**
 * The body of an {@code application/problem+json} response. Immutable and thread-safe.
 *
 * @param ran whether a target ran the request: {@code yes}, {@code no} or {@code unknown}
 */
@JsonInclude(JsonInclude.Include.NON_EMPTY)
public record ProblemDocument(String type, String title, int status, String detail, String code, String ran) {
    /** The content type of the document. */
    public static final String CONTENT_TYPE = "application/problem+json";

    private static final String TYPE_PREFIX = "urn:poplarwharf:failure:";
    private static final long MILLIS_PER_SECOND = 1_000;

    /** Returns the document that describes a failure. */
    public static ProblemDocument of(PoplarWharfException failure) {
        FailureCode code = failure.code();
        return new ProblemDocument(
                TYPE_PREFIX + code.text(),
                code.text().replace('-', ' '),
                code.httpStatus(),
                failure.getMessage(),
                code.text(),
                code.ran().text());
    }

    /** Returns the value of the {@code Retry-After} header in whole seconds, rounded up; empty if a retry does not help. */
    public static OptionalLong retryAfterSeconds(PoplarWharfException failure) {
        OptionalLong millis = failure.retryAfterMillis();
        if (millis.isEmpty()) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(Math.max(1, Math.ceilDiv(millis.getAsLong(), MILLIS_PER_SECOND)));
    }
}
