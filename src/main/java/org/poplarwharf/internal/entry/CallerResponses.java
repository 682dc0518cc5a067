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
 * Builds the HTTP responses that a node sends to its callers. Stateless and thread-safe.
 */
final class CallerResponses {
    static final HttpHeader COLD_START = HttpHeaders.of("X-Cold-Start");

    private static final HttpHeader REPLAYED = HttpHeaders.of("Idempotency-Replayed");
    private static final String CONNECTION_CLOSE = "close";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private CallerResponses() {}

    /** Returns the exception itself if it is a failure with a code, and an internal failure otherwise. */
    static PoplarWharfException toFailure(Exception e) {
        return e instanceof PoplarWharfException failure ? failure : Reporter.internal("The request handling", e);
    }

    /** Returns a builder for a response; with {@code closeConnection} it asks the caller to close the connection. */
    static HttpResponse.Builder builder(int status, String requestId, boolean closeConnection) {
        HttpResponse.Builder builder = HttpResponse.ofCode(status).withHeader(RequestHead.REQUEST_ID, requestId);
        return closeConnection ? builder.withHeader(HttpHeaders.CONNECTION, CONNECTION_CLOSE) : builder;
    }

    /** Returns the response that reports a failure as a problem document. */
    static HttpResponse problem(PoplarWharfException failure, String requestId, boolean closeConnection) {
        HttpResponse.Builder builder = builder(failure.code().httpStatus(), requestId, closeConnection)
                .withHeader(HttpHeaders.CONTENT_TYPE, ProblemDocument.CONTENT_TYPE);
        ProblemDocument.retryAfterSeconds(failure)
                .ifPresent(seconds -> builder.withHeader(HttpHeaders.RETRY_AFTER, Long.toString(seconds)));
        return builder.withBody(toJson(failure)).build();
    }

    /**
     * The request that a response belongs to. Immutable and thread-safe.
     *
     * @param coldStart whether the request waited until a model was loaded
     * @param closeConnection whether the response is the last on its connection
     */
    record ResponseContext(String requestId, boolean coldStart, boolean closeConnection) {}

    /** Returns a response with the status and body that a target sent. */
    static HttpResponse targetResponse(int status, String contentType, byte[] body, ResponseContext context) {
        HttpResponse.Builder builder = builder(status, context.requestId(), context.closeConnection())
                .withHeader(COLD_START, Boolean.toString(context.coldStart()));
        if (!contentType.isEmpty()) {
            builder.withHeader(HttpHeaders.CONTENT_TYPE, contentType);
        }
        return builder.withBody(body).build();
    }

    /** Returns the response to an at-most-once call; {@code replayed} marks a stored one. */
    static HttpResponse callResponse(
            int status, String contentType, byte[] body, String requestId, boolean replayed, boolean closeConnection) {
        HttpResponse.Builder builder = builder(status, requestId, closeConnection);
        if (!contentType.isEmpty()) {
            builder.withHeader(HttpHeaders.CONTENT_TYPE, contentType);
        }
        return builder.withHeader(REPLAYED, Boolean.toString(replayed))
                .withBody(body)
                .build();
    }

    /** Returns the server-sent event that ends an incomplete stream. */
    static byte[] errorEvent(PoplarWharfException failure) {
        String document = new String(toJson(failure), StandardCharsets.UTF_8);
        return ("event: error\ndata: {\"error\":" + document + "}\n\n").getBytes(StandardCharsets.UTF_8);
    }

    private static byte[] toJson(PoplarWharfException failure) {
        try {
            return MAPPER.writeValueAsBytes(ProblemDocument.of(failure));
        } catch (JsonProcessingException e) {
            throw Reporter.internal("The encoding of a problem document", e);
        }
    }
}
