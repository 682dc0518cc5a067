package org.poplarwharf.internal.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.failure.ProblemDocument;
import org.poplarwharf.internal.failure.Reporter;

/**
 * Makes answers to callers. Stateless and thread-safe.
 */
final class CallerResponses {
    static final HttpHeader COLD_START = HttpHeaders.of("X-Cold-Start");

    private static final HttpHeader REPLAYED = HttpHeaders.of("Idempotency-Replayed");
    private static final String CONNECTION_CLOSE = "close";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private CallerResponses() {}

    static PoplarWharfException toFailure(Exception e) {
        return e instanceof PoplarWharfException failure ? failure : Reporter.internal("the entry", e);
    }

    /** Begins an answer; the last one of a connection asks the caller to close it. */
    static HttpResponse.Builder builder(int status, String requestId, boolean last) {
        HttpResponse.Builder builder = HttpResponse.ofCode(status).withHeader(RequestHead.REQUEST_ID, requestId);
        return last ? builder.withHeader(HttpHeaders.CONNECTION, CONNECTION_CLOSE) : builder;
    }

    /** Returns the problem document of a failure. */
    static HttpResponse problem(PoplarWharfException failure, String requestId, boolean last) {
        HttpResponse.Builder builder = builder(failure.code().httpStatus(), requestId, last)
                .withHeader(HttpHeaders.CONTENT_TYPE, ProblemDocument.CONTENT_TYPE);
        ProblemDocument.retryAfterSeconds(failure)
                .ifPresent(seconds -> builder.withHeader(HttpHeaders.RETRY_AFTER, Long.toString(seconds)));
        return builder.withBody(json(failure)).build();
    }

    /**
     * Which request an answer belongs to, whether it waited for a load, and whether it is the last on its connection.
     * Immutable and thread-safe.
     */
    record ResponseContext(String requestId, boolean coldStart, boolean closeConnection) {}

    static HttpResponse targetResponse(int status, String contentType, byte[] body, ResponseContext origin) {
        HttpResponse.Builder builder = builder(status, origin.requestId(), origin.closeConnection())
                .withHeader(COLD_START, Boolean.toString(origin.coldStart()));
        if (!contentType.isEmpty()) {
            builder.withHeader(HttpHeaders.CONTENT_TYPE, contentType);
        }
        return builder.withBody(body).build();
    }

    static HttpResponse callResponse(
            int status, String contentType, byte[] body, String requestId, boolean replayed, boolean last) {
        HttpResponse.Builder builder = builder(status, requestId, last);
        if (!contentType.isEmpty()) {
            builder.withHeader(HttpHeaders.CONTENT_TYPE, contentType);
        }
        return builder.withHeader(REPLAYED, Boolean.toString(replayed))
                .withBody(body)
                .build();
    }

    /** Returns the event that ends a stream which is not whole. */
    static byte[] errorEvent(PoplarWharfException failure) {
        String document = new String(json(failure), StandardCharsets.UTF_8);
        return ("event: error\ndata: {\"error\":" + document + "}\n\n").getBytes(StandardCharsets.UTF_8);
    }

    private static byte[] json(PoplarWharfException failure) {
        try {
            return MAPPER.writeValueAsBytes(ProblemDocument.of(failure));
        } catch (JsonProcessingException e) {
            throw Reporter.internal("a problem document", e);
        }
    }
}
