package org.poplarwharf.internal.entry;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.failure.CallerReporter;
import org.poplarwharf.internal.target.BoundedBodyReader;

/**
 * Handles the requests that arrive on one traffic thread. Each request gets exactly one response.
 *
 * <p>Confined to that thread.
 */
final class CallerServlet implements AsyncServlet {
    private final TrafficThreadContext thread;
    private final CurrentConfig config;
    private final CallRouter calls;

    CallerServlet(TrafficThreadContext thread, CurrentConfig config, CallRouter calls) {
        this.thread = thread;
        this.config = config;
        this.calls = calls;
    }

    @Override
    public Promise<HttpResponse> serve(HttpRequest request) {
        String generatedId = thread.requestIds().next();
        RequestHead head = RequestHead.of(request);
        String requestId = RequestParser.requestId(head, generatedId);
        return handle(request, head, generatedId)
                .then((response, e) -> Promise.of(e == null ? response : failureResponse(e, requestId)));
    }

    private HttpResponse failureResponse(Exception e, String requestId) {
        PoplarWharfException failure = CallerResponses.toFailure(e);
        thread.recordFailure(failure.code(), requestId);
        return CallerResponses.problem(failure, requestId, thread.isDraining());
    }

    private Promise<HttpResponse> handle(HttpRequest request, RequestHead head, String generatedId) {
        long arrivedMillis = thread.nowMillis();
        try {
            if (!config.isReady()) {
                throw CallerReporter.notReady();
            }
            RequestParser.checkHead(head, thread.maxBodyBytes());
        } catch (PoplarWharfException e) {
            return Promise.ofException(e);
        }
        return readBody(request).then(body -> {
            try {
                return execute(RequestParser.parse(head, body, config.current(), generatedId, arrivedMillis));
            } catch (PoplarWharfException e) {
                return Promise.ofException(e);
            }
        });
    }

    private Promise<byte[]> readBody(HttpRequest request) {
        return BoundedBodyReader.read(
                request.takeBodyStream(),
                thread.maxBodyBytes(),
                read -> read,
                () -> CallerReporter.bodyTooLarge(thread.maxBodyBytes()));
    }

    private Promise<HttpResponse> execute(CallerRequest request) {
        Promise<HttpResponse> response = request.atMostOnce()
                ? new CallExchange(thread, request).run(calls)
                : new RetryingExchange(thread, request).run();
        return request.streamed() ? response : response.whenResult(sent -> thread.recordCompletion(request));
    }
}
