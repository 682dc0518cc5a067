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

/** Makes the answers of the administration API. Stateless and thread-safe. */
final class AdminAnswers {
    /** Reads and writes the JSON of the administration API. */
    static final ObjectMapper JSON = new ObjectMapper().registerModule(new Jdk8Module());

    private static final String JSON_TYPE = "application/json";
    private static final String TEXT_TYPE = "text/plain; version=0.0.4; charset=utf-8";
    private static final String SEE_PATHS = "See the list of paths in docs/OPERATORS.md.";
    private static final int OK = 200;

    private AdminAnswers() {}

    /** The answer to a change that was made. */
    record Done(String done) {}

    static Promise<HttpResponse> json(Object body) {
        return Promise.of(answer(OK, JSON_TYPE, bytes(body)).build());
    }

    static Promise<HttpResponse> text(byte[] body) {
        return Promise.of(answer(OK, TEXT_TYPE, body).build());
    }

    static HttpResponse problem(PoplarWharfException failure) {
        HttpResponse.Builder response =
                answer(failure.code().httpStatus(), ProblemDocument.CONTENT_TYPE, bytes(ProblemDocument.of(failure)));
        OptionalLong retryAfter = ProblemDocument.retryAfterSeconds(failure);
        if (retryAfter.isPresent()) {
            response.withHeader(HttpHeaders.RETRY_AFTER, Long.toString(retryAfter.getAsLong()));
        }
        return response.build();
    }

    /** Returns the failure that an exception of the HTTP library or of our own stands for. */
    static PoplarWharfException failure(HttpRequest request, Exception exception) {
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

    private static HttpResponse.Builder answer(int status, String contentType, byte[] body) {
        HttpResponse.Builder response = HttpResponse.ofCode(status);
        response.withHeader(HttpHeaders.CONTENT_TYPE, contentType);
        response.withBody(body);
        return response;
    }

    private static byte[] bytes(Object body) {
        try {
            return JSON.writeValueAsString(body).getBytes(StandardCharsets.UTF_8);
        } catch (JsonProcessingException e) {
            throw Reporter.internal("The administration API", e);
        }
    }

    /** Returns the refusal of a path where this API has nothing. */
    static PoplarWharfException unknownPath(String path) {
        return Reporter.unknownPath(path, SEE_PATHS);
    }

    /** Returns the refusal of a method that a path does not take. */
    static PoplarWharfException methodNotAllowed(HttpRequest request) {
        return Reporter.methodNotAllowed(request.getMethod().name(), request.getPath(), SEE_PATHS);
    }
}
