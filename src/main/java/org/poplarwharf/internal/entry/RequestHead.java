package org.poplarwharf.internal.entry;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import java.util.Optional;

/**
 * The method, the path and the headers of a caller's request, copied before its body is read.
 *
 * <p>The HTTP server uses the buffer that holds a request's head again once the body is read; what is read of the head
 * later may be another caller's. Immutable and thread-safe.
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

    private static final HttpHeader DEADLINE = HttpHeaders.of("X-Deadline-Millis");
    private static final HttpHeader CLASS = HttpHeaders.of("X-Request-Class");
    private static final HttpHeader TENANT = HttpHeaders.of("X-Tenant");
    private static final HttpHeader KEY = HttpHeaders.of("Idempotency-Key");

    /** Copies the head of a request whose body was not touched. */
    static RequestHead of(HttpRequest request) {
        return new RequestHead(
                request.getMethod().name(),
                request.getPath(),
                request.getPathAndQuery(),
                header(request, HttpHeaders.CONTENT_TYPE),
                header(request, HttpHeaders.CONTENT_LENGTH),
                header(request, REQUEST_ID),
                header(request, DEADLINE),
                header(request, CLASS),
                header(request, TENANT),
                header(request, KEY));
    }

    private static Optional<String> header(HttpRequest request, HttpHeader header) {
        return Optional.ofNullable(request.getHeader(header));
    }
}
