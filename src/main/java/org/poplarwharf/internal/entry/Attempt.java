package org.poplarwharf.internal.entry;

import io.activej.bytebuf.ByteBuf;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import org.poplarwharf.internal.admission.Finished.Outcome;
import org.poplarwharf.internal.place.Place;
import org.poplarwharf.internal.target.TargetConnection;
import org.poplarwharf.plugins.EngineDialect;

/**
 * One use of a place: the request on a connection to the place's target.
 *
 * <p>Invariant: the place is given back exactly once. Belongs to one traffic thread.
 */
final class Attempt {
    private static final long NO_FIRST_BYTE = -1;

    private final TrafficThreadContext thread;
    private final CallerRequest request;
    private final Place permit;
    private final String attemptId;
    private final long startedMillis;
    private TargetConnection connection;
    private long firstByteMillis = NO_FIRST_BYTE;
    private boolean isFinished;

    Attempt(TrafficThreadContext thread, CallerRequest request, Place place) {
        this.thread = thread;
        this.request = request;
        this.permit = place;
        this.attemptId = thread.requestIds().next();
        this.startedMillis = thread.nowMillis();
        String address = place.grant().address();
        this.connection = respondsOnlyWhenComplete()
                ? thread.connections().fresh(address)
                : thread.connections().borrow(address);
    }

    String target() {
        return permit.grant().target();
    }

    String attemptId() {
        return attemptId;
    }

    TargetConnection connection() {
        return connection;
    }

    boolean isFinished() {
        return isFinished;
    }

    /** Sends the request; one that stalls before the answer begins is tried once more on a fresh connection. */
    Promise<HttpResponse> send(int resumeAfterTokens) {
        return sendOnce(resumeAfterTokens).then((response, e) -> {
            boolean again = e != null && connection.stalled() && !isFinished;
            if (!again) {
                return Promise.of(response, e);
            }
            connection = thread.connections().freshAfterStall(permit.grant().address());
            return sendOnce(resumeAfterTokens);
        });
    }

    /**
     * An answer that is not streamed may begin as late as the deadline. Only on a connection that was used before is that
     * taken for a stall, as such connections go silent.
     */
    private Promise<HttpResponse> sendOnce(int resumeAfterTokens) {
        HttpRequest sent = buildHttpRequest(resumeAfterTokens);
        return request.streamed() || connection.usedBefore()
                ? connection.exchange(sent)
                : connection.exchange(sent, remainingMillis());
    }

    /** Guards one read of the answer's body. */
    Promise<ByteBuf> readWithProgressTimeout(Promise<ByteBuf> step) {
        return respondsOnlyWhenComplete() ? step : connection.progress(step);
    }

    /** Tells whether the engine may show nothing before its whole answer. */
    private boolean respondsOnlyWhenComplete() {
        return request.isCompletion() && !request.streamed();
    }

    private long remainingMillis() {
        return Math.max(1, request.deadlineMillis() - thread.nowMillis());
    }

    /** Returns how a failure of the exchange counts against the target. */
    Outcome failureOutcome() {
        if (connection.stalled()) {
            return Outcome.NO_PROGRESS;
        }
        return connection.maySentAny() ? Outcome.CONNECTION_LOST : Outcome.CONNECT_FAILED;
    }

    void recordFirstByte() {
        if (firstByteMillis == NO_FIRST_BYTE) {
            firstByteMillis = thread.nowMillis() - startedMillis;
        }
    }

    /** Gives the place back after a whole answer; the connection can be used again. */
    void complete() {
        if (finish(Outcome.ANSWERED)) {
            thread.connections().giveBack(connection);
        }
    }

    /** Gives the place back and aborts the connection. */
    void abort(Outcome outcome) {
        if (finish(outcome)) {
            connection.abort();
        }
    }

    private boolean finish(Outcome outcome) {
        if (isFinished) {
            return false;
        }
        isFinished = true;
        thread.releasePermit(permit, outcome, thread.nowMillis() - startedMillis, firstByteMillis);
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
