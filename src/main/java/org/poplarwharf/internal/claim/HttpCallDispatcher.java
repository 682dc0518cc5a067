package org.poplarwharf.internal.claim;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.util.Optional;
import java.util.Set;
import org.poplarwharf.internal.failure.CallerReporter;
import org.poplarwharf.internal.kernel.CrossLoopCalls;
import org.poplarwharf.internal.peer.PeerMessage;
import org.poplarwharf.internal.place.Permit;
import org.poplarwharf.internal.target.AbortableConnection;
import org.poplarwharf.internal.target.AbortableConnectionPool;
import org.poplarwharf.internal.target.BoundedBodyReader;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.EngineDialect;

/**
 * Dispatches claimed calls over HTTP on a traffic thread.
 *
 * <p>Invariant: each call uses a connection of its own that carries no other exchange before or after, so that no HTTP
 * client can send the call again. The response of a target is no statement that the call has not run. Called only from
 * the control thread.
 */
final class HttpCallDispatcher implements CallDispatcher {
    private static final long CALL_TIMEOUT_MILLIS = 60_000;
    /** To callers these statuses promise that a request has not run. A target that sends one doesn't state that. */
    private static final Set<Integer> PROMISING_STATUSES = Set.of(408, 429, 503);

    private static final HttpHeader REQUEST_ID_HEADER = HttpHeaders.of("X-Request-Id");
    private static final HttpHeader IDEMPOTENCY_KEY_HEADER = HttpHeaders.of("Idempotency-Key");

    private final Eventloop control;
    private final Eventloop traffic;
    private final EngineDialect.Factory dialects;
    private final AbortableConnectionPool connections;
    private final int maxBodyBytes;

    HttpCallDispatcher(Eventloop control, Eventloop traffic, EngineDialect.Factory dialects, int maxBodyBytes) {
        this.control = control;
        this.traffic = traffic;
        this.dialects = dialects;
        this.connections = new AbortableConnectionPool(traffic, CALL_TIMEOUT_MILLIS);
        this.maxBodyBytes = maxBodyBytes;
    }

    @Override
    public Promise<Result> dispatch(Permit permit, PeerMessage.Call call) {
        return CrossLoopCalls.call(control, traffic, () -> send(permit, call))
                .map((result, e) -> e == null ? result : new Result.OutcomeUnknown(e));
    }

    private Promise<Result> send(Permit permit, PeerMessage.Call call) {
        HttpRequest request;
        try {
            request = buildRequest(permit, call);
        } catch (RuntimeException e) {
            return Promise.of(new Result.NotSent(e));
        }
        AbortableConnection connection =
                connections.openSingleUse(permit.grant().address(), CALL_TIMEOUT_MILLIS);
        return connection
                .exchange(request)
                .then(response -> readResponse(permit, connection, response))
                .map((received, e) -> {
                    if (e == null) {
                        return received;
                    }
                    connection.abort();
                    return connection.mayHaveSentBytes() ? new Result.OutcomeUnknown(e) : new Result.NotSent(e);
                });
    }

    private Promise<Result> readResponse(Permit permit, AbortableConnection connection, HttpResponse response) {
        String contentType = Optional.ofNullable(response.getHeader(HttpHeaders.CONTENT_TYPE))
                .orElse("");
        return BoundedBodyReader.read(
                        response.takeBodyStream(),
                        maxBodyBytes,
                        connection::withProgressTimeout,
                        () -> CallerReporter.targetFailed(permit.grant().target(), null))
                .map(body -> PROMISING_STATUSES.contains(response.getCode())
                        ? new Result.UnprovenRefusal(response.getCode())
                        : new Result.ResponseReceived(response.getCode(), contentType, body));
    }

    private HttpRequest buildRequest(Permit permit, PeerMessage.Call call) {
        ArtifactId artifact = call.admission().artifact();
        String address = permit.grant().address();
        if (artifact.kind() != ArtifactId.Kind.SERVICE) {
            return dialects.create(traffic)
                    .completionRequest(
                            address,
                            new EngineDialect.CompletionRequest(
                                    call.requestId(),
                                    artifact,
                                    call.body(),
                                    permit.grant().priority(),
                                    0,
                                    CALL_TIMEOUT_MILLIS));
        }
        HttpRequest.Builder builder = HttpRequest.builder(
                        HttpMethod.valueOf(call.method()), "http://" + address + call.path())
                .withHeader(REQUEST_ID_HEADER, call.requestId())
                .withHeader(
                        IDEMPOTENCY_KEY_HEADER,
                        call.callKey().substring(call.callKey().lastIndexOf('/') + 1));
        if (!call.contentType().isEmpty()) {
            builder.withHeader(HttpHeaders.CONTENT_TYPE, call.contentType());
        }
        return call.body().length == 0
                ? builder.build()
                : builder.withBody(call.body()).build();
    }
}
