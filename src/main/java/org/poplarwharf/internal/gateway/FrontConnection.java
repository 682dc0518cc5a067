package org.poplarwharf.internal.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.poplarwharf.FailureCode;
import org.poplarwharf.internal.fleet.CallerLimits;
import org.poplarwharf.internal.fleet.FleetPlan;
import org.poplarwharf.internal.fleet.RequestTraits;
import org.poplarwharf.internal.fleet.Route;

/**
 * A caller's connection: one exchange at a time, answers in the order of requests.
 *
 * <p>Invariant: after an answer that was not framed as announced the connection is closed. Confined to its event loop.
 */
final class FrontConnection extends ChannelInboundHandlerAdapter implements CallerSide {
    /** Requests that a caller may send ahead of answers before reading stops. */
    private static final int MAX_AHEAD = 4;

    /** A node is ready within a second or two of its start. */
    private static final long NOT_READY_RETRY_MILLIS = 500;

    private final GatewayParts parts;
    private final FrontServer server;
    private final EventLoop loop;
    private final Deque<FullHttpRequest> ahead = new ArrayDeque<>();
    private Channel channel;
    private HttpRequest incoming;
    private ByteBuf incomingBody = Unpooled.EMPTY_BUFFER;
    private boolean discarding;
    private FullHttpRequest current;
    private Exchange exchange;
    private boolean keepAlive = true;
    private boolean chunked;
    private Future<?> idleTimer;

    FrontConnection(GatewayParts parts, FrontServer server, EventLoop loop) {
        this.parts = parts;
        this.server = server;
        this.loop = loop;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        server.opened(this);
        waitFor(limits().idleTimeoutMillis());
    }

    boolean busy() {
        return exchange != null || !ahead.isEmpty() || incoming != null;
    }

    void closeIfIdle() {
        if (!busy()) {
            channel.close();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (discarding) {
                return;
            }
            if (message instanceof HttpObject object && object.decoderResult().isFailure()) {
                reject(codeOf(object.decoderResult().cause()), "unreadable request");
                return;
            }
            if (message instanceof HttpRequest request) {
                readHead(request);
            }
            if (message instanceof HttpContent content && incoming != null) {
                readContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private static int codeOf(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException) {
            return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE.code();
        }
        return cause instanceof TooLongHttpLineException
                ? HttpResponseStatus.REQUEST_URI_TOO_LONG.code()
                : HttpResponseStatus.BAD_REQUEST.code();
    }

    private void readHead(HttpRequest request) {
        incoming = request;
        incomingBody = Unpooled.EMPTY_BUFFER;
        waitFor(limits().headerTimeoutMillis());
        int size = request.uri().length();
        for (var header : request.headers()) {
            size += header.getKey().length() + header.getValue().length() + 4;
        }
        if (size > limits().maxHeaderBytes()) {
            reject(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE.code(), "headers over the limit");
        } else if (HttpUtil.getContentLength(request, 0L) > limits().maxBodyBytes()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE.code(), "body over the limit");
        } else if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void readContent(HttpContent content) {
        ByteBuf piece = content.content();
        if (piece.isReadable()) {
            if (incomingBody == Unpooled.EMPTY_BUFFER) {
                long announced = HttpUtil.getContentLength(incoming, piece.readableBytes());
                incomingBody = Unpooled.buffer((int) Math.min(announced, limits().maxBodyBytes()));
            }
            if (incomingBody.readableBytes() + piece.readableBytes() > limits().maxBodyBytes()) {
                reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE.code(), "body over the limit");
                return;
            }
            incomingBody.writeBytes(piece);
        }
        if (!(content instanceof LastHttpContent)) {
            return;
        }
        FullHttpRequest whole = new DefaultFullHttpRequest(
                incoming.protocolVersion(),
                incoming.method(),
                incoming.uri(),
                incomingBody,
                incoming.headers(),
                new DefaultHttpHeaders());
        incoming = null;
        incomingBody = Unpooled.EMPTY_BUFFER;
        stopWaiting();
        if (exchange != null) {
            ahead.addLast(whole);
            channel.config().setAutoRead(ahead.size() < MAX_AHEAD);
            return;
        }
        begin(whole);
    }

    private void begin(FullHttpRequest request) {
        current = request;
        keepAlive = HttpUtil.isKeepAlive(request);
        RequestTraits traits = parts.headerNames().request(request.headers());
        if (!parts.view().complete()) {
            parts.log().log("request-refused", "requestId", traits.requestId(), "reason", "no plan or targets yet");
            ownAnswer(request, traits, FailureCode.NOT_READY, "not ready", NOT_READY_RETRY_MILLIS);
            return;
        }
        FleetPlan plan = parts.view().plan().orElseThrow();
        Optional<Route> route = plan.routes().find(request.headers().get(HttpHeaderNames.HOST, ""), request.uri());
        if (route.isEmpty()) {
            parts.log().log(
                    "request-refused",
                    "requestId",
                    traits.requestId(),
                    "reason",
                    "no route",
                    "planVersion",
                    plan.version());
            ownAnswer(request, traits, FailureCode.UNKNOWN_PATH, "no route", 0);
            return;
        }
        exchange = new Exchange(parts, this, request, route.get(), traits);
        exchange.start();
    }

    private void ownAnswer(
            FullHttpRequest request, RequestTraits traits, FailureCode code, String reason, long retryMillis) {
        HttpHeaders headers = new DefaultHttpHeaders();
        parts.headerNames().ownAnswer(headers, traits.requestId());
        ByteBuf body = Headers.problem(headers, code, reason, retryMillis);
        request.release();
        answer(code.httpStatus(), headers, body);
    }

    /** Answers a request that can't be read and closes, since the rest of it can't be told from the next one. */
    private void reject(int status, String reason) {
        discarding = true;
        parts.log().log("request-refused", "requestId", "", "reason", reason, "status", status);
        if (exchange != null) {
            return;
        }
        keepAlive = false;
        current = null;
        answer(status, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
    }

    @Override
    public void answer(int status, HttpHeaders headers, ByteBuf body) {
        boolean headOnly = current != null && HttpMethod.HEAD.equals(current.method());
        if (!headOnly) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        boolean last = closing(headers);
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                headOnly ? Unpooled.EMPTY_BUFFER : body,
                headers,
                new DefaultHttpHeaders());
        ended(channel.writeAndFlush(response), last);
    }

    @Override
    public void begin(int status, HttpHeaders headers) {
        chunked = current.protocolVersion().isKeepAliveDefault();
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        if (chunked) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else {
            keepAlive = false;
        }
        closing(headers);
        channel.write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers));
    }

    @Override
    public void piece(ByteBuf piece) {
        if (piece.isReadable()) {
            channel.write(new DefaultHttpContent(piece));
        } else {
            piece.release();
        }
    }

    @Override
    public void flush() {
        channel.flush();
    }

    @Override
    public void end() {
        ended(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT), !keepAlive);
    }

    @Override
    public void abort() {
        exchange = null;
        channel.close();
    }

    @Override
    public boolean writable() {
        return channel.isWritable();
    }

    private boolean closing(HttpHeaders headers) {
        keepAlive &= !server.draining() && !discarding;
        if (!keepAlive) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return !keepAlive;
    }

    private void ended(io.netty.channel.ChannelFuture written, boolean last) {
        exchange = null;
        current = null;
        // A caller that was not told so by a head from before the drain would send its next request here.
        if (last || server.draining()) {
            discarding = true;
            written.addListener(ChannelFutureListener.CLOSE);
            return;
        }
        FullHttpRequest next = ahead.pollFirst();
        channel.config().setAutoRead(true);
        if (next != null) {
            begin(next);
        } else {
            waitFor(limits().idleTimeoutMillis());
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (exchange != null && channel.isWritable()) {
            exchange.writable();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        stopWaiting();
        server.closed(this);
        ahead.forEach(ReferenceCountUtil::release);
        ahead.clear();
        if (incoming != null) {
            incomingBody.release();
            incoming = null;
        }
        if (exchange != null) {
            Exchange left = exchange;
            exchange = null;
            left.callerGone();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        parts.log().log("caller-connection-failed", "reason", String.valueOf(cause));
        channel.close();
    }

    private CallerLimits limits() {
        return parts.view().plan().map(FleetPlan::limits).orElse(CallerLimits.DEFAULTS);
    }

    private void waitFor(long millis) {
        stopWaiting();
        idleTimer = loop.schedule(this::waitedTooLong, millis, TimeUnit.MILLISECONDS);
    }

    private void waitedTooLong() {
        if (incoming != null) {
            reject(HttpResponseStatus.REQUEST_TIMEOUT.code(), "request not sent in time");
        } else if (exchange == null) {
            channel.close();
        }
    }

    private void stopWaiting() {
        if (idleTimer != null) {
            idleTimer.cancel(false);
            idleTimer = null;
        }
    }
}
