package org.poplarwharf.internal.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.activej.http.HttpError;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import org.poplarwharf.FailureCode;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.failure.ProblemDocument;
import org.poplarwharf.internal.failure.Reporter;

/** Builds the HTTP responses of the administration API. Stateless and thread-safe. */
final class AdminResponses {
    /** Reads and writes the JSON bodies of the administration API. */
    static final ObjectMapper JSON = new ObjectMapper().registerModule(new Jdk8Module());

    private static final String JSON_TYPE = "application/json";
    private static final String TEXT_TYPE = "text/plain; version=0.0.4; charset=utf-8";
    private static final String PATHS_HINT = "See the list of paths in docs/OPERATORS.md.";
    private static final int HTTP_OK = 200;

    private AdminResponses() {}

    /** The response to an accepted change. */
    record ChangeResponse(String done) {}

    static Promise<HttpResponse> json(Object body) {
        return Promise.of(builder(HTTP_OK, JSON_TYPE, toJsonBytes(body)).build());
    }

    static Promise<HttpResponse> text(byte[] body) {
        return Promise.of(builder(HTTP_OK, TEXT_TYPE, body).build());
    }

    static HttpResponse problem(PoplarWharfException failure) {
        HttpResponse.Builder response = builder(
                failure.code().httpStatus(), ProblemDocument.CONTENT_TYPE, toJsonBytes(ProblemDocument.of(failure)));
        OptionalLong retryAfter = ProblemDocument.retryAfterSeconds(failure);
        if (retryAfter.isPresent()) {
            response.withHeader(HttpHeaders.RETRY_AFTER, Long.toString(retryAfter.getAsLong()));
        }
        return response.build();
    }

    /** Maps an exception to the failure to report; an unknown exception becomes an internal failure. */
    static PoplarWharfException toFailure(HttpRequest request, Exception exception) {
        if (exception instanceof PoplarWharfException failure) {
            return failure;
        }
        if (exception instanceof HttpError error && error.getCode() == FailureCode.UNKNOWN_PATH.httpStatus()) {
            return unknownPath(request.getPath());
        }
        if (exception instanceof HttpError error && error.getCode() == FailureCode.METHOD_NOT_ALLOWED.httpStatus()) {
            return methodNotAllowed(request);
        }
        return Reporter.internal("The administration API", exception);
    }

    private static HttpResponse.Builder builder(int status, String contentType, byte[] body) {
        HttpResponse.Builder response = HttpResponse.ofCode(status);
        response.withHeader(HttpHeaders.CONTENT_TYPE, contentType);
        response.withBody(body);
        return response;
    }

    private static byte[] toJsonBytes(Object body) {
        try {
            return JSON.writeValueAsString(body).getBytes(StandardCharsets.UTF_8);
        } catch (JsonProcessingException e) {
            throw Reporter.internal("The administration API", e);
        }
    }

    /** Returns the failure for a path that this API does not serve. */
    static PoplarWharfException unknownPath(String path) {
        return Reporter.unknownPath(path, PATHS_HINT);
    }

    /** Returns the failure for an HTTP method that a path does not support. */
    static PoplarWharfException methodNotAllowed(HttpRequest request) {
        return Reporter.methodNotAllowed(request.getMethod().name(), request.getPath(), PATHS_HINT);
    }
}
