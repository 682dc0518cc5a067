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
    /** Fewer requests are never too many, however large they are. */
    private static final int MIN_FULL_COUNT = 4;

    /** Far more than a caller sends ahead, as the end of a connection goes unnoticed while nothing is read from it. */
    private static final int MIN_FULL_BYTES = 256 * 1024;

    /** Approximate memory that a request takes besides its text. */
    private static final int OVERHEAD_BYTES = 1024;

    private final GatewayContext gateway;
    private final Deque<FullHttpRequest> requests = new ArrayDeque<>();
    private long addedCount;
    private long waitingBytes;

    PipelinedRequests(GatewayContext gateway) {
        this.gateway = gateway;
    }

    /** Adds a request, and takes ownership of it. */
    void add(FullHttpRequest request) {
        addedCount++;
        waitingBytes += sizeOf(request);
        requests.addLast(request);
    }

    /** Returns how many requests have been added since the connection was accepted. */
    long addedCount() {
        return addedCount;
    }

    /** Removes and returns the oldest request. */
    Optional<FullHttpRequest> take() {
        Optional<FullHttpRequest> oldest = Optional.ofNullable(requests.pollFirst());
        oldest.ifPresent(request -> waitingBytes -= sizeOf(request));
        return oldest;
    }

    private static int sizeOf(FullHttpRequest request) {
        return OVERHEAD_BYTES
                + RequestReader.headBytes(request)
                + request.content().readableBytes();
    }

    /** Returns whether so much waits that nothing more should be read from the caller. */
    boolean isFull() {
        return requests.size() >= MIN_FULL_COUNT && waitingBytes >= MIN_FULL_BYTES;
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
        waitingBytes = 0;
    }

    /** Logs a request that gets no response. */
    void logDropped(HttpRequest request, String reason) {
        gateway.logRequestEvent("request-dropped", "requestId", idOf(request), "reason", reason);
    }

    /** Logs the requests that wait when the node begins to drain. */
    void recordWaiting() {
        requests.forEach(request -> gateway.logRequestEvent("request-waits", "requestId", idOf(request)));
    }

    /** Returns the id that the caller has given a request. */
    String idOf(HttpRequest request) {
        return gateway.headerCodec().readRequest(request.headers()).requestId();
    }
}
