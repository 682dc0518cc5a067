package org.poplarwharf.internal.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One connection to a target.
 *
 * <p>Invariant: bytes that belong to no request close the connection; an answer that is framed by the end of its
 * connection is complete only if that end was no reset. Confined to its event loop.
 */
final class TargetConnection extends ChannelInboundHandlerAdapter implements SentRequest {
    private static final String KEEP_ALIVE = "keep-alive";
    private static final Pattern IDLE_SECONDS = Pattern.compile("timeout=(\\d{1,6})");

    /** How long a target that names no idle time keeps a connection, at least; a guess on the short side. */
    private static final long DEFAULT_KEEP_MILLIS = 4_000;

    /** Left before the target's idle time is over, so that no request crosses its close. */
    private static final long KEEP_MARGIN_MILLIS = 500;

    private final String targetId;
    private final TargetConnections pool;
    private Channel channel;
    private AnswerListener listener;
    private boolean reset;
    private boolean written;
    private boolean reusable;
    private boolean informational;
    private long keepMillis = DEFAULT_KEEP_MILLIS;
    private long idleSinceNanos;

    TargetConnection(String targetId, TargetConnections pool) {
        this.targetId = targetId;
        this.pool = pool;
    }

    String targetId() {
        return targetId;
    }

    void opening(ChannelFuture connecting, FullHttpRequest request, AnswerListener toListen) {
        channel = connecting.channel();
        listener = toListen;
        connecting.addListener(done -> {
            if (listener == null) {
                request.release();
                channel.close();
                return;
            }
            if (!done.isSuccess()) {
                request.release();
                AnswerListener waiting = listener;
                listener = null;
                waiting.notSent(String.valueOf(done.cause()));
                return;
            }
            send(request, toListen);
        });
    }

    void send(FullHttpRequest request, AnswerListener toListen) {
        listener = toListen;
        written = false;
        reusable = true;
        listener.sent();
        channel.writeAndFlush(request).addListener(done -> written = done.isSuccess());
    }

    boolean usableAfterIdle(long maxIdleMillis) {
        long idleMillis = (System.nanoTime() - idleSinceNanos) / 1_000_000;
        return channel.isActive() && idleMillis < Math.min(maxIdleMillis, keepMillis - KEEP_MARGIN_MILLIS);
    }

    void closeIdle() {
        channel.close();
    }

    @Override
    public void cancel() {
        listener = null;
        channel.close();
    }

    @Override
    public void reading(boolean on) {
        channel.config().setAutoRead(on);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (listener == null) {
                channel.close();
                return;
            }
            if (message instanceof HttpObject object && object.decoderResult().isFailure()) {
                end("unreadable answer");
                return;
            }
            if (message instanceof HttpResponse head) {
                readHead(head);
            }
            if (message instanceof HttpContent content && !informational) {
                readContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void readHead(HttpResponse head) {
        informational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (informational) {
            return;
        }
        boolean framed = HttpUtil.isTransferEncodingChunked(head) || HttpUtil.isContentLengthSet(head);
        reusable &= framed && HttpUtil.isKeepAlive(head);
        String keepAlive = head.headers().get(KEEP_ALIVE, "");
        Matcher idle = IDLE_SECONDS.matcher(keepAlive);
        if (idle.find()) {
            keepMillis = Long.parseLong(idle.group(1)) * 1_000;
        }
        listener.head(head);
    }

    private void readContent(HttpContent content) {
        ByteBuf piece = content.content();
        if (piece.isReadable()) {
            listener.content(piece);
        }
        if (listener == null || !(content instanceof LastHttpContent)) {
            return;
        }
        if (reset) {
            end("connection reset");
            return;
        }
        AnswerListener done = listener;
        if (!done.complete()) {
            reusable = false;
            return;
        }
        if (listener == null) {
            return;
        }
        listener = null;
        if (reusable && written && channel.isActive()) {
            channel.config().setAutoRead(true);
            idleSinceNanos = System.nanoTime();
            pool.keep(this);
        } else {
            channel.close();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (listener != null) {
            listener.pieceDone();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pool.dropIdle(this);
        end("connection closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        reset = true;
        end(String.valueOf(cause));
    }

    private void end(String reason) {
        channel.close();
        AnswerListener waiting = listener;
        listener = null;
        if (waiting != null) {
            waiting.broken(reason);
        }
    }
}
