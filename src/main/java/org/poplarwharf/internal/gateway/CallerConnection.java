package org.poplarwharf.internal.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.ReferenceCountUtil;
import java.util.Optional;
import java.util.OptionalInt;
import org.poplarwharf.FailureCode;
import org.poplarwharf.internal.fleet.RequestTraits;

/**
 * A caller's connection. Handles one exchange at a time and sends responses in the order of the requests.
 *
 * <p>Invariants: the connection is closed after a response that did not follow its announced framing. A response that its
 * caller can delimit only by the end of the connection is followed by a reset unless it is complete. The node closes the
 * connection of its own accord, or announces that, only after a turn of the event loop in which nothing arrived. Confined to
 * its event loop.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements ResponseSink, RequestReader.Listener {
    private final GatewayContext gateway;
    private final ProxyServer server;
    private final boolean fromPeer;
    private final PipelinedRequests pipelined;
    private final RequestReader reader;
    private final ReadTurn readTurn;
    private final IdleTimer idleTimer;
    private ResponseWriter writer;
    private Channel channel;
    private boolean takesNoMore;
    private boolean handlingWaiting;
    private OptionalInt refusalStatus = OptionalInt.empty();
    private FullHttpRequest current;
    private ProxyExchange exchange;
    private Optional<ChannelFuture> lastResponse = Optional.empty();
    private boolean keepAlive = true;

    /** Creates a connection of a caller, or of another node that passes on requests of its callers. */
    CallerConnection(GatewayContext gateway, ProxyServer server, EventLoop loop, boolean fromPeer) {
        this.fromPeer = fromPeer;
        this.gateway = gateway;
        this.server = server;
        this.pipelined = new PipelinedRequests(gateway);
        this.reader = new RequestReader(loop, gateway::callerLimits, this);
        this.readTurn = new ReadTurn(loop);
        this.idleTimer = new IdleTimer(loop, this::closeIfIdle);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        writer = new ResponseWriter(channel, readTurn);
        server.addConnection(this);
        idleTimer.restart(gateway.callerLimits().idleTimeoutMillis());
    }

    /** Returns whether a request is under way or has been read, or a response has not been sent in whole. */
    boolean isBusy() {
        return exchange != null
                || hasWaiting()
                || readTurn.isAwaited()
                || lastResponse.filter(written -> !written.isDone()).isPresent();
    }

    private boolean hasWaiting() {
        return !pipelined.isEmpty() || refusalStatus.isPresent() || reader.isReading();
    }

    /** Closes the connection if it is idle, once a caller that has just used it had time to send its next request. */
    void closeSoonIfIdle() {
        if (!isBusy() && !takesNoMore) {
            readTurn.await(this::isBusy, () -> {
                if (!isBusy()) {
                    idleTimer.limit(server.maxIdleMillis());
                }
            });
        }
    }

    /** Closes the connection unless it is busy or a request has arrived. */
    void closeIfIdle() {
        if (!isBusy() && !takesNoMore) {
            long countBefore = pipelined.addedCount();
            readTurn.await(this::isBusy, () -> closeUnlessRequested(countBefore));
        }
    }

    private void closeUnlessRequested(long countBefore) {
        if (pipelined.addedCount() > countBefore) {
            handleSent();
        } else if (!isBusy()) {
            takesNoMore = true;
            LingeringClose.closeAfter(channel.newSucceededFuture());
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (takesNoMore && message instanceof HttpRequest request) {
                pipelined.logDropped(request, "connection takes no more requests");
            } else if (!takesNoMore && message instanceof HttpObject part) {
                reader.read(part);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        readTurn.onRead();
    }

    @Override
    public void onHead() {
        idleTimer.cancel();
        handleWaiting();
    }

    @Override
    public void onRequest(FullHttpRequest request) {
        pipelined.add(request);
        handleWaiting();
    }

    @Override
    public void onInvalid(int status, String reason) {
        gateway.logRequestEvent("request-refused", "requestId", "", "reason", reason, "status", status);
        idleTimer.cancel();
        takesNoMore = true;
        refusalStatus = OptionalInt.of(status);
        handleWaiting();
    }

    /** Handles the requests that wait until one of them is under way, and then the one behind them that is not whole. */
    private void handleWaiting() {
        if (handlingWaiting) {
            return;
        }
        handlingWaiting = true;
        try {
            while (isFree() && !pipelined.isEmpty()) {
                pipelined.take().ifPresent(this::startExchange);
            }
        } finally {
            handlingWaiting = false;
        }
        boolean reading = !pipelined.isFull() && ConnectionGuard.mayRead(channel);
        channel.config().setAutoRead(reading);
        if (reading && reader.isReading() && !reader.awaitsContinue()) {
            reader.expectRest();
        }
        if (isFree() && refusalStatus.isPresent()) {
            refuseInvalid(refusalStatus.getAsInt());
        } else if (isFree() && reader.awaitsContinue()) {
            sendContinue();
        }
    }

    private boolean isFree() {
        return exchange == null && !writer.isHolding();
    }

    private void sendContinue() {
        writer.writeContinue();
        reader.expectRest();
    }

    private void refuseInvalid(int status) {
        refusalStatus = OptionalInt.empty();
        keepAlive = false;
        sendResponse(status, HttpMessages.headersOfInvalid(status), Unpooled.EMPTY_BUFFER);
    }

    private void startExchange(FullHttpRequest request) {
        current = request;
        keepAlive = HttpUtil.isKeepAlive(request);
        RequestTraits traits = gateway.headerCodec().readRequest(request.headers());
        try {
            startExchange(request, traits);
        } catch (RuntimeException e) {
            handleDefect(request, traits.requestId(), e);
        }
    }

    /** Responds to a request whose handling has thrown an exception, unless it has got its response. */
    private void handleDefect(FullHttpRequest request, String requestId, RuntimeException cause) {
        gateway.log().log("request-handling-failed", "requestId", requestId, "reason", String.valueOf(cause));
        if (exchange != null) {
            exchange.end(FailureCode.INTERNAL, "defect of the node", 0);
        } else if (current == request) {
            refuse(requestId, FailureCode.INTERNAL, "defect of the node", 0);
        }
    }

    /** Logs the requests that have been read and have no final response when the node begins to drain. */
    void recordInFlight() {
        exchange().ifPresent(ProxyExchange::recordInFlight);
        pipelined.recordWaiting();
    }

    /** Returns the exchange of the request under way. */
    Optional<ProxyExchange> exchange() {
        return Optional.ofNullable(exchange);
    }

    private void startExchange(FullHttpRequest request, RequestTraits traits) {
        if (server.isEnding()) {
            refuse(traits.requestId(), FailureCode.SHUTTING_DOWN, "node ends", 0);
            return;
        }
        switch (RequestIntake.check(gateway, request, traits, fromPeer)) {
            case RequestIntake.Refused refused ->
                refuse(traits.requestId(), refused.code(), refused.reason(), refused.retryAfterMillis());
            case RequestIntake.Accepted accepted -> {
                exchange = new ProxyExchange(accepted.context(), this, request);
                exchange.start();
            }
        }
    }

    /** Refuses the current request before its exchange begins. */
    private void refuse(String requestId, FailureCode code, String reason, long retryAfterMillis) {
        RequestIntake.logRefused(gateway, requestId, code, reason);
        current.release();
        sendProblem(requestId, code, reason, retryAfterMillis);
    }

    @Override
    public void sendProblem(String requestId, FailureCode code, String reason, long retryAfterMillis) {
        HttpHeaders headers = new DefaultHttpHeaders();
        gateway.headerCodec().addRequestId(headers, requestId);
        if (fromPeer) {
            PeerRefusal.mark(headers, code, gateway.headerCodec());
        }
        ByteBuf body = HttpMessages.writeProblem(headers, code, reason, retryAfterMillis);
        sendResponse(code.httpStatus(), headers, body);
    }

    @Override
    public void sendResponse(int status, HttpHeaders headers, ByteBuf body) {
        sendAfterReadTurn(() -> sendWhole(status, headers, body));
    }

    /** Sends a response, if it may announce the close, only once it is known whether a request waits behind it. */
    private void sendAfterReadTurn(Runnable start) {
        if (!keepAlive || !server.isDraining() || hasWaiting()) {
            start.run();
        } else {
            writer.holdUntilRead(start, this::hasWaiting);
        }
    }

    private void sendWhole(int status, HttpHeaders headers, ByteBuf body) {
        boolean headOnly = current != null && HttpMethod.HEAD.equals(current.method());
        if (!headOnly) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        applyCloseHeader(headers);
        finishResponse(writer.writeWhole(status, headers, headOnly ? Unpooled.EMPTY_BUFFER : body));
    }

    @Override
    public void startResponse(int status, HttpHeaders headers) {
        sendAfterReadTurn(() -> sendHead(status, headers));
    }

    private void sendHead(int status, HttpHeaders headers) {
        boolean chunked = current.protocolVersion().isKeepAliveDefault();
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        keepAlive &= chunked;
        applyCloseHeader(headers);
        writer.writeHead(status, headers, chunked);
    }

    @Override
    public void writeChunk(ByteBuf chunk) {
        writer.writeChunk(chunk);
    }

    @Override
    public void flush() {
        writer.runInOrder(channel::flush);
    }

    @Override
    public void endResponse() {
        writer.runInOrder(() -> finishResponse(writer.writeEnd()));
    }

    @Override
    public void abortResponse() {
        exchange = null;
        channel.close();
    }

    @Override
    public boolean isWritable() {
        return channel.isWritable();
    }

    /** Announces the close with the caller's last response. While draining, that is one behind which nothing waits. */
    private void applyCloseHeader(HttpHeaders headers) {
        keepAlive &= !server.isDraining() || hasWaiting();
        if (!keepAlive) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            takesNoMore = true;
            refusalStatus = OptionalInt.empty();
            reader.discard();
            pipelined.dropAll("connection closes after the response before");
        }
    }

    private void finishResponse(ChannelFuture written) {
        exchange = null;
        current = null;
        lastResponse = Optional.of(written);
        if (!keepAlive) {
            LingeringClose.closeAfter(written);
            return;
        }
        handleWaiting();
        written.addListener(done -> handleSent());
    }

    private void handleSent() {
        if (isBusy()) {
            return;
        }
        idleTimer.restart(gateway.callerLimits().idleTimeoutMillis());
        // A response head sent before the drain did not announce the close.
        if (server.isDraining()) {
            closeSoonIfIdle();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (exchange != null && channel.isWritable()) {
            exchange.resumeReading();
        }
        if (channel.isWritable() && !channel.config().isAutoRead()) {
            // A response may be in the middle of being written.
            channel.eventLoop().execute(this::handleWaiting);
        }
    }

    /** Treats a caller that has ended its output as gone. A response that is only held back is written before. */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            writer.writeHeldParts();
            channel.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        idleTimer.cancel();
        server.removeConnection(this);
        pipelined.dropAll("connection closed");
        reader.discard();
        if (exchange != null) {
            ProxyExchange abandoned = exchange;
            exchange = null;
            abandoned.handleCallerGone();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        String requestId = Optional.ofNullable(current).map(pipelined::idOf).orElse("");
        gateway.logRequestEvent("caller-connection-failed", "requestId", requestId, "reason", String.valueOf(cause));
        channel.close();
    }

    @Override
    public boolean tryBuffer(int bytes) {
        return ConnectionGuard.tryBufferResponse(channel, bytes);
    }
}
