package org.poplarwharf.internal.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A connection to a target.
 *
 * <p>Invariant: data that belongs to no request closes the connection. A response that is delimited by the end of its
 * connection is complete only if the target ended the connection. Confined to its event loop.
 */
final class TargetConnection extends ChannelInboundHandlerAdapter implements InFlightRequest {
    private static final String KEEP_ALIVE_HEADER = "keep-alive";
    private static final Pattern KEEP_ALIVE_TIMEOUT_SECONDS = Pattern.compile("timeout=(\\d{1,6})");

    /** How long, at least, a target that announces no keep-alive timeout is assumed to keep an idle connection open. */
    private static final long DEFAULT_KEEP_ALIVE_MILLIS = 4_000;

    /**
     * The time before the target's keep-alive timeout at which a connection is no longer used, so that no request is
     * sent while the target closes it.
     */
    private static final long KEEP_ALIVE_MARGIN_MILLIS = 500;

    private final String targetId;
    private final TargetConnectionPool pool;
    private final ResponseDecoder decoder;
    private Channel channel;
    private ResponseListener listener;
    private int requestCount;
    private boolean written;
    private boolean reusable;
    private long keepAliveMillis = DEFAULT_KEEP_ALIVE_MILLIS;
    private long idleSinceNanos;

    TargetConnection(String targetId, TargetConnectionPool pool, ResponseDecoder decoder) {
        this.targetId = targetId;
        this.pool = pool;
        this.decoder = decoder;
    }

    String targetId() {
        return targetId;
    }

    void sendWhenConnected(ChannelFuture connecting, FullHttpRequest request, ResponseListener responseListener) {
        channel = connecting.channel();
        listener = responseListener;
        connecting.addListener(done -> {
            reportConnecting(done.isSuccess());
            if (listener == null) {
                request.release();
                channel.close();
                return;
            }
            if (!done.isSuccess()) {
                request.release();
                ResponseListener previous = listener;
                listener = null;
                previous.onNotSent(String.valueOf(done.cause()));
                return;
            }
            send(request, responseListener);
        });
    }

    /** Reports a new connection, unless its request was cancelled before the outcome was known. */
    private void reportConnecting(boolean successful) {
        if (successful) {
            pool.observer().connected(targetId);
        } else if (listener != null) {
            pool.observer().connectFailed(targetId);
        }
    }

    void send(FullHttpRequest request, ResponseListener responseListener) {
        listener = responseListener;
        requestCount++;
        written = false;
        reusable = true;
        pool.observer().requestSent(targetId);
        listener.onSending();
        HttpMethod method = request.method();
        ChannelFuture writing = channel.writeAndFlush(request);
        decoder.expectResponse(method, writing);
        writing.addListener(done -> written = done.isSuccess());
    }

    boolean isReusable(long maxIdleMillis) {
        long idleMillis = (System.nanoTime() - idleSinceNanos) / 1_000_000;
        return channel.isActive() && idleMillis < Math.min(maxIdleMillis, keepAliveMillis - KEEP_ALIVE_MARGIN_MILLIS);
    }

    void close() {
        channel.close();
    }

    @Override
    public void cancel() {
        listener = null;
        channel.close();
    }

    @Override
    public boolean isFirstOnConnection() {
        return requestCount <= 1;
    }

    @Override
    public void setReading(boolean enabled) {
        channel.config().setAutoRead(enabled);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        pool.observer().received(targetId);
        try {
            if (listener == null) {
                channel.close();
                return;
            }
            if (message instanceof HttpObject object && object.decoderResult().isFailure()) {
                fail("unreadable answer: " + object.decoderResult().cause());
                return;
            }
            if (message instanceof HttpResponse head) {
                readHead(head);
            }
            if (message instanceof HttpContent content) {
                readContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void readHead(HttpResponse head) {
        reusable &= BodyDelimiter.of(head) != BodyDelimiter.CONNECTION_END && HttpUtil.isKeepAlive(head);
        String keepAlive = head.headers().get(KEEP_ALIVE_HEADER, "");
        Matcher timeout = KEEP_ALIVE_TIMEOUT_SECONDS.matcher(keepAlive);
        if (timeout.find()) {
            keepAliveMillis = Long.parseLong(timeout.group(1)) * 1_000;
        }
        listener.onHead(head);
    }

    private void readContent(HttpContent content) {
        ByteBuf chunk = content.content();
        if (chunk.isReadable()) {
            listener.onContent(chunk);
        }
        if (listener == null || !(content instanceof LastHttpContent)) {
            return;
        }
        ResponseListener current = listener;
        if (!current.onComplete()) {
            reusable = false;
            return;
        }
        if (listener == null) {
            return;
        }
        listener = null;
        decoder.endResponse();
        if (reusable && written && channel.isActive() && !decoder.hasSurplusBytes()) {
            channel.config().setAutoRead(true);
            idleSinceNanos = System.nanoTime();
            pool.release(this);
        } else {
            channel.close();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (listener != null) {
            listener.onReadComplete();
        } else if (decoder.hasSurplusBytes()) {
            pool.removeIdle(this);
            channel.close();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            handleEnd();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        handleEnd();
    }

    /** Handles the end of the connection, after the decoder has passed on what it delimits. */
    private void handleEnd() {
        pool.removeIdle(this);
        fail("connection closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        pool.removeIdle(this);
        fail(String.valueOf(cause));
    }

    private void fail(String reason) {
        ResponseListener previous = listener;
        listener = null;
        channel.close();
        if (previous != null) {
            previous.onBroken(reason);
        }
    }
}
