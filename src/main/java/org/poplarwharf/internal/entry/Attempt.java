package org.poplarwharf.internal.entry;

import io.activej.bytebuf.ByteBuf;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import org.poplarwharf.internal.admission.GrantCompletion.Outcome;
import org.poplarwharf.internal.place.Permit;
import org.poplarwharf.internal.target.AbortableConnection;
import org.poplarwharf.plugins.EngineDialect;

/**
 * One attempt to run a request: sends it on a connection to the target that a permit names.
 *
 * <p>Invariant: the permit is released exactly once. Confined to one traffic thread.
 */
final class Attempt {
    private static final long NO_FIRST_BYTE_MILLIS = -1;

    private final TrafficThreadContext thread;
    private final CallerRequest request;
    private final Permit permit;
    private final String attemptId;
    private final long startedMillis;
    private AbortableConnection connection;
    private long firstByteDelayMillis = NO_FIRST_BYTE_MILLIS;
    private boolean isFinished;

    Attempt(TrafficThreadContext thread, CallerRequest request, Permit permit) {
        this.thread = thread;
        this.request = request;
        this.permit = permit;
        this.attemptId = thread.requestIds().next();
        this.startedMillis = thread.nowMillis();
        String address = permit.grant().address();
        this.connection = respondsOnlyWhenComplete()
                ? thread.connections().open(address)
                : thread.connections().acquire(address);
    }

    String target() {
        return permit.grant().target();
    }

    String attemptId() {
        return attemptId;
    }

    AbortableConnection connection() {
        return connection;
    }

    boolean isFinished() {
        return isFinished;
    }

    /** Sends the request; if it stalls before the response begins, it is sent once more on a new connection. */
    Promise<HttpResponse> send(int resumeAfterTokens) {
        return sendOnce(resumeAfterTokens).then((response, e) -> {
            boolean retry = e != null && connection.isStalled() && !isFinished;
            if (!retry) {
                return Promise.of(response, e);
            }
            connection = thread.connections().openAfterStall(permit.grant().address());
            return sendOnce(resumeAfterTokens);
        });
    }

    /**
     * Sends the request on the current connection. A response that is not streamed may begin as late as the deadline, so
     * on a new connection the deadline is the timeout. A reused connection may have been lost without notice, so the
     * shorter progress timeout applies there.
     */
    private Promise<HttpResponse> sendOnce(int resumeAfterTokens) {
        HttpRequest httpRequest = buildHttpRequest(resumeAfterTokens);
        return request.streamed() || connection.wasUsedBefore()
                ? connection.exchange(httpRequest)
                : connection.exchange(httpRequest, remainingMillis());
    }

    /** Applies the progress timeout to one read of the response body, unless the response is sent only when complete. */
    Promise<ByteBuf> readWithProgressTimeout(Promise<ByteBuf> read) {
        return respondsOnlyWhenComplete() ? read : connection.withProgressTimeout(read);
    }

    /** Returns whether the engine may send nothing until its response is complete. */
    private boolean respondsOnlyWhenComplete() {
        return request.isCompletion() && !request.streamed();
    }

    private long remainingMillis() {
        return Math.max(1, request.deadlineMillis() - thread.nowMillis());
    }

    /** Returns the outcome that a failure of this attempt is reported with. */
    Outcome failureOutcome() {
        if (connection.isStalled()) {
            return Outcome.NO_PROGRESS;
        }
        return connection.mayHaveSentBytes() ? Outcome.CONNECTION_LOST : Outcome.CONNECT_FAILED;
    }

    void recordFirstByte() {
        if (firstByteDelayMillis == NO_FIRST_BYTE_MILLIS) {
            firstByteDelayMillis = thread.nowMillis() - startedMillis;
        }
    }

    /** Releases the permit after a complete response and returns the connection to the pool. */
    void complete() {
        if (release(Outcome.ANSWERED)) {
            thread.connections().release(connection);
        }
    }

    /** Releases the permit with the given outcome and aborts the connection. */
    void abort(Outcome outcome) {
        if (release(outcome)) {
            connection.abort();
        }
    }

    private boolean release(Outcome outcome) {
        if (isFinished) {
            return false;
        }
        isFinished = true;
        thread.releasePermit(permit, outcome, thread.nowMillis() - startedMillis, firstByteDelayMillis);
        return true;
    }

    private HttpRequest buildHttpRequest(int resumeAfterTokens) {
        String address = permit.grant().address();
        if (request.isCompletion()) {
            return thread.dialect()
                    .completionRequest(
                            address,
                            new EngineDialect.CompletionRequest(
                                    attemptId,
                                    request.artifact(),
                                    request.body(),
                                    permit.grant().priority(),
                                    resumeAfterTokens,
                                    remainingMillis()));
        }
        HttpRequest.Builder builder = HttpRequest.builder(
                        HttpMethod.valueOf(request.method()), "http://" + address + request.path())
                .withHeader(RequestHead.REQUEST_ID, attemptId);
        if (!request.contentType().isEmpty()) {
            builder.withHeader(HttpHeaders.CONTENT_TYPE, request.contentType());
        }
        return request.body().length == 0
                ? builder.build()
                : builder.withBody(request.body()).build();
    }
}
