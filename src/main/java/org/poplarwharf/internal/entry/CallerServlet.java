package org.poplarwharf.internal.entry;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.failure.CallerReporter;
import org.poplarwharf.internal.target.BoundedBodyReader;

/**
 * Takes callers' requests on one traffic thread and gives each exactly one answer.
 *
 * <p>Belongs to that thread.
 */
final class CallerServlet implements AsyncServlet {
    private final TrafficThread thread;
    private final ConfigSnapshot config;
    private final CallRouter calls;

    CallerServlet(TrafficThread thread, ConfigSnapshot config, CallRouter calls) {
        this.thread = thread;
        this.config = config;
        this.calls = calls;
    }

    @Override
    public Promise<HttpResponse> serve(HttpRequest request) {
        String made = thread.ids().next();
        RequestHead head = RequestHead.of(request);
        String requestId = RequestParser.requestId(head, made);
        return accept(request, head, made)
                .then((response, e) -> Promise.of(e == null ? response : refusal(e, requestId)));
    }

    private HttpResponse refusal(Exception e, String requestId) {
        PoplarWharfException failure = Answers.failure(e);
        thread.refused(failure.code(), requestId);
        return Answers.problem(failure, requestId, thread.draining());
    }

    private Promise<HttpResponse> accept(HttpRequest request, RequestHead head, String made) {
        long arrivedMillis = thread.nowMillis();
        try {
            if (!config.ready()) {
                throw CallerReporter.notReady();
            }
            RequestParser.checkHead(head, thread.maxBodyBytes());
        } catch (PoplarWharfException e) {
            return Promise.ofException(e);
        }
        return body(request).then(body -> {
            try {
                return run(RequestParser.parse(head, body, config.current(), made, arrivedMillis));
            } catch (PoplarWharfException e) {
                return Promise.ofException(e);
            }
        });
    }

    private Promise<byte[]> body(HttpRequest request) {
        return BoundedBodyReader.read(
                request.takeBodyStream(),
                thread.maxBodyBytes(),
                read -> read,
                () -> CallerReporter.bodyTooLarge(thread.maxBodyBytes()));
    }

    private Promise<HttpResponse> run(CallerRequest request) {
        Promise<HttpResponse> answer =
                request.nonRepeatable() ? calls.call(thread, request) : new Exchange(thread, request).run();
        return request.stream() ? answer : answer.whenResult(response -> thread.answeredWhole(request));
    }
}
