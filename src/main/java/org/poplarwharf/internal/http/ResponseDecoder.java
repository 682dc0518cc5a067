package org.poplarwharf.internal.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import org.poplarwharf.internal.response.BrokenResponseException;
import org.poplarwharf.internal.response.ResponseVerifier;

/**
 * Decodes the responses of a connection that carries one request at a time. Netty's client codec does not tell whether
 * bytes are left after a response; it would take them for the beginning of the next one.
 *
 * <p>Invariants: decodes only what {@link ResponseVerifier} has verified; interim responses are not decoded. Bytes that are no
 * response are reported as an exception, after which nothing is decoded; a later handler must close the channel then. A response
 * that is delimited by the end of its connection ends only once its request is written, since a connection that is reset
 * under the request may end like any other before. Confined to the event loop.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private final BrokenResponseObserver observer;
    private final ResponseVerifier verifier = new ResponseVerifier();
    private HttpMethod method = HttpMethod.GET;
    private boolean expectsResponse;
    private boolean surplus;
    private boolean hasUndecodedBytes;
    private boolean broken;
    private ChannelFuture requestWritten;

    /** Whether the connection has ended and the end is held back until the request is written. */
    private boolean isEndHeldBack;

    ResponseDecoder(HttpDecoderConfig config, BrokenResponseObserver observer) {
        super(config);
        this.observer = observer;
    }

    /**
     * Expects the response to a request, which is being written; its method determines whether the response has a body. Must be
     * called before the event loop reads.
     */
    void expectResponse(HttpMethod requestMethod, ChannelFuture written) {
        method = requestMethod;
        requestWritten = written;
        expectsResponse = true;
        verifier.expectResponse(HttpMethod.HEAD.equals(requestMethod));
    }

    /** Takes all bytes that follow the response, up to the next request, for surplus ones. */
    void endResponse() {
        expectsResponse = false;
        surplus |= hasUndecodedBytes || actualReadableBytes() > 0;
    }

    /** Returns whether bytes have arrived that belong to no request. */
    boolean hasSurplusBytes() {
        return surplus;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        surplus |= !expectsResponse;
        if (!(message instanceof ByteBuf received)) {
            super.channelRead(context, message);
            return;
        }
        try {
            while (received.isReadable() && !broken) {
                decodeVerified(context, received);
            }
        } finally {
            received.release();
        }
    }

    /** Decodes bytes up to the end of one response at most, and removes them from what was received. */
    private void decodeVerified(ChannelHandlerContext context, ByteBuf received) throws Exception {
        ResponseVerifier.Result result = verifier.verify(received.nioBuffer());
        received.skipBytes(result.start());
        ByteBuf verified = received.readRetainedSlice(result.length());
        broken = result.failure().isPresent();
        hasUndecodedBytes = broken || received.isReadable();
        if (verified.isReadable()) {
            super.channelRead(context, verified);
        } else {
            verified.release();
        }
        if (broken) {
            reportBroken(context, result.failure().get());
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
        boolean isEnd = event instanceof ChannelInputShutdownEvent;
        if (!isEnd || !verifier.isDelimitedByConnectionEnd() || requestWritten.isDone()) {
            super.userEventTriggered(context, event);
            return;
        }
        isEndHeldBack = true;
        requestWritten.addListener(written -> {
            if (written.isSuccess()) {
                isEndHeldBack = false;
                super.userEventTriggered(context, event);
            } else if (!isClosedHere(written.cause())) {
                reportBroken(context, new BrokenResponseException("connection reset while the request was written"));
            }
        });
    }

    /** Returns whether a request was not written since this side has closed the connection. */
    private static boolean isClosedHere(Throwable cause) {
        return cause instanceof ClosedChannelException;
    }

    /** Reports an end that was held back, which the decoder would take for that of the response. */
    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        if (isEndHeldBack) {
            context.fireExceptionCaught(new IOException("connection closed while the request was written"));
        }
        super.channelInactive(context);
    }

    private void reportBroken(ChannelHandlerContext context, BrokenResponseException failure) {
        broken = true;
        observer.onBrokenResponse(context.channel().remoteAddress(), failure.getMessage());
        context.fireExceptionCaught(failure);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        boolean isTunnel = HttpMethod.CONNECT.equals(method)
                && message instanceof HttpResponse response
                && HttpResponseStatus.OK.equals(response.status());
        return HttpMethod.HEAD.equals(method) || isTunnel || super.isContentAlwaysEmpty(message);
    }
}
