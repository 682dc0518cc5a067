package org.poplarwharf.internal.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.concurrent.Future;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.poplarwharf.internal.fleet.CallerLimits;

/**
 * Reads the requests of a connection within the operator's limits.
 *
 * <p>Invariants: reports each request once, either when it is whole or as invalid. The limits that are in force when the
 * head of a request is read hold for the whole request. Confined to the event loop.
 */
final class RequestReader {
    static final String HEADERS_OVER_LIMIT = "headers over the limit";

    private static final int FIELD_DELIMITER_BYTES = 4;

    /** A body of an announced length starts with this much memory, and gets more only as it arrives. */
    private static final int INITIAL_BODY_BYTES = 4 * 1024;

    private final EventLoop loop;
    private final Supplier<CallerLimits> latestLimits;
    private final Listener listener;
    private HttpRequest head;
    private CallerLimits limits = CallerLimits.DEFAULTS;
    private boolean awaitsContinue;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    private Optional<Future<?>> timer = Optional.empty();

    /** Receives what has been read. */
    interface Listener {
        /** Called when the head of a valid request has been read. */
        void onHead();

        /** Called with a whole request. The listener takes ownership of it. */
        void onRequest(FullHttpRequest request);

        /** Called with an invalid request. Its end cannot be found, so that nothing that follows can be read. */
        void onInvalid(int status, String reason);
    }

    RequestReader(EventLoop loop, Supplier<CallerLimits> latestLimits, Listener listener) {
        this.loop = loop;
        this.latestLimits = latestLimits;
        this.listener = listener;
    }

    /** Returns whether a request has been read in part. */
    boolean isReading() {
        return head != null;
    }

    /** Returns whether the caller waits for a statement that it may send the body of the request. */
    boolean awaitsContinue() {
        return awaitsContinue;
    }

    /** Starts the time within which the caller must send the rest of the request, unless it has been started. */
    void expectRest() {
        awaitsContinue = false;
        if (timer.isEmpty()) {
            timer = Optional.of(
                    loop.schedule(this::handleTimeout, limits.headerTimeoutMillis(), TimeUnit.MILLISECONDS));
        }
    }

    /** Reads a part of a request. Does not retain it. */
    void read(HttpObject part) {
        if (part.decoderResult().isFailure()) {
            Throwable cause = part.decoderResult().cause();
            reject(statusFor(cause), reasonFor(cause));
            return;
        }
        if (part instanceof HttpRequest request) {
            readHead(request);
        }
        if (part instanceof HttpContent content && isReading()) {
            readContent(content);
        }
    }

    private static HttpResponseStatus statusFor(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException) {
            return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        if (cause instanceof MemoryShortageException) {
            return HttpResponseStatus.SERVICE_UNAVAILABLE;
        }
        return cause instanceof TooLongHttpLineException
                ? HttpResponseStatus.REQUEST_URI_TOO_LONG
                : HttpResponseStatus.BAD_REQUEST;
    }

    private static String reasonFor(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException) {
            return HEADERS_OVER_LIMIT;
        }
        return cause instanceof MemoryShortageException ? cause.getMessage() : "unreadable request";
    }

    private void readHead(HttpRequest request) {
        head = request;
        limits = latestLimits.get();
        if (headBytes(request) > limits.maxHeaderBytes()) {
            reject(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, HEADERS_OVER_LIMIT);
        } else if (HttpUtil.getContentLength(request, 0L) > limits.maxBodyBytes()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body over the limit");
        } else {
            awaitsContinue = HttpUtil.is100ContinueExpected(request);
            listener.onHead();
        }
    }

    /** Returns the size of the request target and the headers. */
    static int headBytes(HttpRequest request) {
        int size = request.uri().length();
        for (var header : request.headers()) {
            size += fieldBytes(header.getKey(), header.getValue());
        }
        return size;
    }

    /** Returns the size of a header field. */
    static int fieldBytes(CharSequence name, CharSequence value) {
        return name.length() + value.length() + FIELD_DELIMITER_BYTES;
    }

    private void readContent(HttpContent content) {
        ByteBuf chunk = content.content();
        if (chunk.isReadable()) {
            if (body.readableBytes() + chunk.readableBytes() > limits.maxBodyBytes()) {
                reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body over the limit");
                return;
            }
            if (body == Unpooled.EMPTY_BUFFER) {
                int maxBytes = Math.min(HttpUtil.getContentLength(head, limits.maxBodyBytes()), limits.maxBodyBytes());
                body = Unpooled.buffer(
                        Math.min(Math.max(INITIAL_BODY_BYTES, chunk.readableBytes()), maxBytes), maxBytes);
            }
            body.writeBytes(chunk);
        }
        if (!(content instanceof LastHttpContent)) {
            return;
        }
        FullHttpRequest whole = new DefaultFullHttpRequest(
                head.protocolVersion(), head.method(), head.uri(), body, head.headers(), new DefaultHttpHeaders());
        reset();
        listener.onRequest(whole);
    }

    private void handleTimeout() {
        reject(HttpResponseStatus.REQUEST_TIMEOUT, "request not sent in time");
    }

    private void reject(HttpResponseStatus status, String reason) {
        discard();
        listener.onInvalid(status.code(), reason);
    }

    /** Discards a request that has been read in part. */
    void discard() {
        body.release();
        reset();
    }

    private void reset() {
        head = null;
        awaitsContinue = false;
        body = Unpooled.EMPTY_BUFFER;
        timer.ifPresent(running -> running.cancel(false));
        timer = Optional.empty();
    }
}
