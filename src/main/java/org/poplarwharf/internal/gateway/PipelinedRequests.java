package org.poplarwharf.internal.gateway;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequest;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * The whole requests of a connection that wait for the response to another one.
 *
 * <p>Invariant: a request that leaves the queue without a response is logged. Confined to the event loop.
 */
final class PipelinedRequests {
    private final GatewayContext gateway;
    private final Deque<FullHttpRequest> requests = new ArrayDeque<>();
    private long addedCount;

    PipelinedRequests(GatewayContext gateway) {
        this.gateway = gateway;
    }

    /** Adds a request, and takes ownership of it. */
    void add(FullHttpRequest request) {
        addedCount++;
        requests.addLast(request);
    }

    /** Returns how many requests have been added since the connection was accepted. */
    long addedCount() {
        return addedCount;
    }

    /** Removes and returns the oldest request. */
    Optional<FullHttpRequest> take() {
        return Optional.ofNullable(requests.pollFirst());
    }

    int count() {
        return requests.size();
    }

    boolean isEmpty() {
        return requests.isEmpty();
    }

    /** Drops all requests, since their connection sends no more responses. */
    void dropAll(String reason) {
        requests.forEach(request -> {
            logDropped(request, reason);
            request.release();
        });
        requests.clear();
    }

    /** Logs a request that gets no response. */
    void logDropped(HttpRequest request, String reason) {
        String requestId = gateway.headerCodec().readRequest(request.headers()).requestId();
        gateway.log().log("request-dropped", "requestId", requestId, "reason", reason);
    }
}
