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
import org.poplarwharf.internal.kernel.CrossLoopCalls;
import org.poplarwharf.internal.peer.PeerMessage;
import org.poplarwharf.internal.place.Permit;
import org.poplarwharf.internal.target.BodyReader;
import org.poplarwharf.internal.target.TargetConnection;
import org.poplarwharf.internal.target.TargetConnections;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.EngineDialect;

/**
 * Dispatches claimed calls over HTTP on a traffic thread.
 *
 * <p>Invariant: each call gets a connection of its own that is used for nothing else, before or after, so that no
 * client can send it again. Called from the control thread.
 */
final class TargetDispatcher implements CallDispatcher {
    private static final long CALL_LIMIT_MILLIS = 60_000;
    private static final HttpHeader REQUEST_ID = HttpHeaders.of("X-Request-Id");
    private static final HttpHeader KEY = HttpHeaders.of("Idempotency-Key");

    private final Eventloop control;
    private final Eventloop traffic;
    private final EngineDialect.Factory dialects;
    private final TargetConnections connections;
    private final int maxBodyBytes;

    TargetDispatcher(Eventloop control, Eventloop traffic, EngineDialect.Factory dialect, int maxBodyBytes) {
        this.control = control;
        this.traffic = traffic;
        this.dialects = dialect;
        this.connections = new TargetConnections(traffic, CALL_LIMIT_MILLIS);
        this.maxBodyBytes = maxBodyBytes;
    }

    @Override
    public Promise<Result> dispatch(Permit place, PeerMessage.Call call) {
        return CrossLoopCalls.call(control, traffic, () -> send(place, call))
                .map((result, e) -> e == null ? result : new Result.Unknown(e));
    }

    private Promise<Result> send(Permit place, PeerMessage.Call call) {
        HttpRequest request;
        try {
            request = request(place, call);
        } catch (RuntimeException e) {
            return Promise.of(new Result.NotSent(e));
        }
        TargetConnection connection = connections.once(place.grant().address(), CALL_LIMIT_MILLIS);
        return connection
                .exchange(request)
                .then(response -> body(place, connection, response))
                .map((answered, e) -> {
                    if (e == null) {
                        return answered;
                    }
                    connection.abort();
                    return connection.maySentAny() ? new Result.Unknown(e) : new Result.NotSent(e);
                });
    }

    private Promise<Result> body(Permit place, TargetConnection connection, HttpResponse response) {
        String contentType = Optional.ofNullable(response.getHeader(HttpHeaders.CONTENT_TYPE))
                .orElse("");
        return BodyReader.read(
                        response.takeBodyStream(),
                        maxBodyBytes,
                        connection::progress,
                        () -> CallerReporter.targetFailed(place.grant().target(), null))
                .map(body -> new Result.Answered(response.getCode(), contentType, body));
    }

    private HttpRequest request(Permit place, PeerMessage.Call call) {
        ArtifactId artifact = call.admission().artifact();
        String address = place.grant().address();
        if (artifact.kind() != ArtifactId.Kind.SERVICE) {
            return dialects.create(traffic)
                    .completionRequest(
                            address,
                            new EngineDialect.CompletionRequest(
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
