package org.poplarwharf.internal.entry;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import java.util.Optional;

/**
 * A copy of the method, path and headers of a caller's request, made before the body is read.
 *
 * <p>The HTTP server reuses the buffer of a request's head once the body is read, so a later read of the head may return
 * data of another caller. Immutable and thread-safe.
 */
record RequestHead(
        String method,
        String path,
        String pathAndQuery,
        Optional<String> contentType,
        Optional<String> contentLength,
        Optional<String> requestId,
        Optional<String> deadlineMillis,
        Optional<String> requestClass,
        Optional<String> tenant,
        Optional<String> idempotencyKey) {
    static final HttpHeader REQUEST_ID = HttpHeaders.of("X-Request-Id");

    private static final HttpHeader DEADLINE_MILLIS = HttpHeaders.of("X-Deadline-Millis");
    private static final HttpHeader REQUEST_CLASS = HttpHeaders.of("X-Request-Class");
    private static final HttpHeader TENANT = HttpHeaders.of("X-Tenant");
    private static final HttpHeader IDEMPOTENCY_KEY = HttpHeaders.of("Idempotency-Key");

    /** Copies the head of a request. Must be called before the body is read. */
    static RequestHead of(HttpRequest request) {
        return new RequestHead(
                request.getMethod().name(),
                request.getPath(),
                request.getPathAndQuery(),
                header(request, HttpHeaders.CONTENT_TYPE),
                header(request, HttpHeaders.CONTENT_LENGTH),
                header(request, REQUEST_ID),
                header(request, DEADLINE_MILLIS),
                header(request, REQUEST_CLASS),
                header(request, TENANT),
                header(request, IDEMPOTENCY_KEY));
    }

    private static Optional<String> header(HttpRequest request, HttpHeader header) {
        return Optional.ofNullable(request.getHeader(header));
    }
}
