package org.poplarwharf.internal.claim;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.util.Optional;
import org.poplarwharf.internal.failure.CallerReporter;
import org.poplarwharf.internal.kernel.Crossing;
import org.poplarwharf.internal.peer.PeerMessage;
import org.poplarwharf.internal.place.Place;
import org.poplarwharf.internal.target.AbortableConnection;
import org.poplarwharf.internal.target.AbortableConnectionPool;
import org.poplarwharf.internal.target.BoundedBodyReader;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.EngineDialect;

/**
 * Dispatches claimed calls over HTTP on a traffic thread.
 *
 * <p>Invariant: each call gets a connection of its own that is used for nothing else, before or after, so that no
 * client can send it again. Called from the control thread.
 */
final class HttpCallDispatcher implements CallDispatcher {
    private static final long CALL_LIMIT_MILLIS = 60_000;
    private static final HttpHeader REQUEST_ID = HttpHeaders.of("X-Request-Id");
    private static final HttpHeader KEY = HttpHeaders.of("Idempotency-Key");

    private final Eventloop control;
    private final Eventloop traffic;
    private final EngineDialect.Factory dialects;
    private final AbortableConnectionPool connections;
    private final int maxBodyBytes;

    HttpCallDispatcher(Eventloop control, Eventloop traffic, EngineDialect.Factory dialect, int maxBodyBytes) {
        this.control = control;
        this.traffic = traffic;
        this.dialects = dialect;
        this.connections = new AbortableConnectionPool(traffic, CALL_LIMIT_MILLIS);
        this.maxBodyBytes = maxBodyBytes;
    }

    @Override
    public Promise<Result> dispatch(Place place, PeerMessage.Call call) {
        return Crossing.call(control, traffic, () -> send(place, call))
                .map((result, e) -> e == null ? result : new Result.OutcomeUnknown(e));
    }

    private Promise<Result> send(Place place, PeerMessage.Call call) {
        HttpRequest request;
        try {
            request = request(place, call);
        } catch (RuntimeException e) {
            return Promise.of(new Result.NotSent(e));
        }
        AbortableConnection connection = connections.openSingleUse(place.grant().address(), CALL_LIMIT_MILLIS);
        return connection
                .exchange(request)
                .then(response -> body(place, connection, response))
                .map((answered, e) -> {
                    if (e == null) {
                        return answered;
                    }
                    connection.abort();
                    return connection.mayHaveSentBytes() ? new Result.OutcomeUnknown(e) : new Result.NotSent(e);
                });
    }

    private Promise<Result> body(Place place, AbortableConnection connection, HttpResponse response) {
        String contentType = Optional.ofNullable(response.getHeader(HttpHeaders.CONTENT_TYPE))
                .orElse("");
        return BoundedBodyReader.read(
                        response.takeBodyStream(),
                        maxBodyBytes,
                        connection::withProgressTimeout,
                        () -> CallerReporter.targetFailed(place.grant().target(), null))
                .map(body -> new Result.ResponseReceived(response.getCode(), contentType, body));
    }

    private HttpRequest request(Place place, PeerMessage.Call call) {
        ArtifactId artifact = call.admission().artifact();
        String address = place.grant().address();
        if (artifact.kind() != ArtifactId.Kind.SERVICE) {
            return dialects.create(traffic)
                    .completion(
                            address,
                            new EngineDialect.Completion(
                                    call.requestId(),
                                    artifact,
                                    call.body(),
                                    place.grant().priority(),
                                    0,
                                    CALL_LIMIT_MILLIS));
        }
        HttpRequest.Builder builder = HttpRequest.builder(
                        HttpMethod.valueOf(call.method()), "http://" + address + call.path())
                .withHeader(REQUEST_ID, call.requestId())
                .withHeader(KEY, call.callKey().substring(call.callKey().lastIndexOf('/') + 1));
        if (!call.contentType().isEmpty()) {
            builder.withHeader(HttpHeaders.CONTENT_TYPE, call.contentType());
        }
        return call.body().length == 0
                ? builder.build()
                : builder.withBody(call.body()).build();
    }
}
