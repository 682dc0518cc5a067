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
 * <p>Invariants: the permit is released exactly once. Silence of the target ends no attempt; it is only reported. Confined
 * to one traffic thread.
 */
final class Attempt {
    private static final long NO_FIRST_BYTE_MILLIS = -1;

    private final TrafficThreadContext thread;
    private final CallerRequest request;
    private final Permit permit;
    private final SilenceListener listener;
    private final String attemptId;
    private final long startedMillis;
    private AbortableConnection connection;
    private long firstByteDelayMillis = NO_FIRST_BYTE_MILLIS;
    private boolean wasSentAgain;
    private boolean isFinished;

    /** Learns whether the target of an attempt makes progress. */
    interface SilenceListener {
        /** Called each time the target has been silent for another progress timeout. */
        void onSilence(Attempt attempt);

        /** Called when the target has sent something, or the connection has failed. */
        void onSilenceEnded();
    }

    Attempt(TrafficThreadContext thread, CallerRequest request, Permit permit, SilenceListener listener) {
        this.listener = listener;
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

    /** Returns whether the request was sent twice, so that a response to the second send says nothing of the first. */
    boolean wasSentAgain() {
        return wasSentAgain;
    }

    boolean isFinished() {
        return isFinished;
    }

    /**
     * Sends the request. A reused connection may have been lost without notice, so if the response does not begin there
     * within the progress timeout, the request is sent once more on a new connection to the same target.
     */
    Promise<HttpResponse> send(int resumeAfterTokens) {
        return sendOnce(resumeAfterTokens).then((response, e) -> {
            boolean retry = e != null && connection.isStalled() && !isFinished;
            if (!retry) {
                return Promise.of(response, e);
            }
            wasSentAgain = true;
            connection = thread.connections().openAfterStall(permit.grant().address());
            return sendOnce(resumeAfterTokens);
        });
    }

    /** Sends the request on the current connection. On a new connection, the response may begin as late as the deadline. */
    private Promise<HttpResponse> sendOnce(int resumeAfterTokens) {
        HttpRequest httpRequest = buildHttpRequest(resumeAfterTokens);
        if (connection.wasUsedBefore()) {
            return connection.exchange(httpRequest);
        }
        return request.streamed()
                ? connection
                        .exchange(httpRequest, () -> listener.onSilence(this))
                        .whenComplete(listener::onSilenceEnded)
                : connection.exchange(httpRequest, remainingMillis());
    }

    /** Reports silence of the target during one read of the body, unless the response is sent only when complete. */
    Promise<ByteBuf> watch(Promise<ByteBuf> read) {
        return respondsOnlyWhenComplete()
                ? read
                : connection.watch(read, () -> listener.onSilence(this)).whenComplete(listener::onSilenceEnded);
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
        boolean mayHaveReachedTarget = wasSentAgain || connection.mayHaveSentBytes();
        return mayHaveReachedTarget ? Outcome.CONNECTION_LOST : Outcome.CONNECT_FAILED;
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
