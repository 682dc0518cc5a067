package org.poplarwharf.internal.entry;

import io.activej.bytebuf.ByteBuf;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import org.poplarwharf.internal.admission.Finished.Outcome;
import org.poplarwharf.internal.place.Place;
import org.poplarwharf.internal.target.AbortableConnection;
import org.poplarwharf.plugins.EngineDialect;

/**
 * One use of a place: the request on a connection to the place's target.
 *
 * <p>Invariant: the place is given back exactly once. Belongs to one traffic thread.
 */
final class Attempt {
    private static final long NO_FIRST_BYTE = -1;

    private final TrafficThread thread;
    private final CallerRequest request;
    private final Place place;
    private final String sentId;
    private final long startedMillis;
    private AbortableConnection connection;
    private long firstByteMillis = NO_FIRST_BYTE;
    private boolean finished;

    Attempt(TrafficThread thread, CallerRequest request, Place place) {
        this.thread = thread;
        this.request = request;
        this.place = place;
        this.sentId = thread.ids().next();
        this.startedMillis = thread.nowMillis();
        String address = place.grant().address();
        this.connection = answersAtItsEnd()
                ? thread.connections().open(address)
                : thread.connections().acquire(address);
    }

    String target() {
        return place.grant().target();
    }

    String sentId() {
        return sentId;
    }

    AbortableConnection connection() {
        return connection;
    }

    boolean finished() {
        return finished;
    }

    /** Sends the request; one that stalls before the answer begins is tried once more on a fresh connection. */
    Promise<HttpResponse> send(int resumeAfterTokens) {
        return exchange(resumeAfterTokens).then((response, e) -> {
            boolean again = e != null && connection.isStalled() && !finished;
            if (!again) {
                return Promise.of(response, e);
            }
            connection = thread.connections().openAfterStall(place.grant().address());
            return exchange(resumeAfterTokens);
        });
    }

    /**
     * An answer that is not streamed may begin as late as the deadline. Only on a connection that was used before is that
     * taken for a stall, as such connections go silent.
     */
    private Promise<HttpResponse> exchange(int resumeAfterTokens) {
        HttpRequest sent = httpRequest(resumeAfterTokens);
        return request.stream() || connection.wasUsedBefore()
                ? connection.exchange(sent)
                : connection.exchange(sent, remainingMillis());
    }

    /** Guards one read of the answer's body. */
    Promise<ByteBuf> read(Promise<ByteBuf> step) {
        return answersAtItsEnd() ? step : connection.withProgressTimeout(step);
    }

    /** Tells whether the engine may show nothing before its whole answer. */
    private boolean answersAtItsEnd() {
        return request.completion() && !request.stream();
    }

    private long remainingMillis() {
        return Math.max(1, request.deadlineMillis() - thread.nowMillis());
    }

    /** Returns how a failure of the exchange counts against the target. */
    Outcome lost() {
        if (connection.isStalled()) {
            return Outcome.NO_PROGRESS;
        }
        return connection.mayHaveSentBytes() ? Outcome.CONNECTION_LOST : Outcome.CONNECT_FAILED;
    }

    void firstByte() {
        if (firstByteMillis == NO_FIRST_BYTE) {
            firstByteMillis = thread.nowMillis() - startedMillis;
        }
    }

    /** Gives the place back after a whole answer; the connection can be used again. */
    void answered() {
        if (finish(Outcome.ANSWERED)) {
            thread.connections().release(connection);
        }
    }

    /** Gives the place back and aborts the connection. */
    void end(Outcome outcome) {
        if (finish(outcome)) {
            connection.abort();
        }
    }

    private boolean finish(Outcome outcome) {
        if (finished) {
            return false;
        }
        finished = true;
        thread.giveBack(place, outcome, thread.nowMillis() - startedMillis, firstByteMillis);
        return true;
    }

    private HttpRequest httpRequest(int resumeAfterTokens) {
        String address = place.grant().address();
        if (request.completion()) {
            return thread.dialect()
                    .completion(
                            address,
                            new EngineDialect.Completion(
                                    sentId,
                                    request.artifact(),
                                    request.body(),
                                    place.grant().priority(),
                                    resumeAfterTokens,
                                    remainingMillis()));
        }
        HttpRequest.Builder builder = HttpRequest.builder(
                        HttpMethod.valueOf(request.method()), "http://" + address + request.path())
                .withHeader(RequestHead.REQUEST_ID, sentId);
        if (!request.contentType().isEmpty()) {
            builder.withHeader(HttpHeaders.CONTENT_TYPE, request.contentType());
        }
        return request.body().length == 0
                ? builder.build()
                : builder.withBody(request.body()).build();
    }
}
