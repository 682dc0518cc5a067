package org.poplarwharf.internal.gateway;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.poplarwharf.internal.fleet.CallerLimits;

/**
 * Accounts for the memory that a connection holds from its first byte to the end of its last response, and stops what
 * exceeds it. Sits between the HTTP codec and the handler of the requests.
 *
 * <p>Invariants: a request that finds no memory is passed on as invalid, and nothing that follows it is. Nothing is passed on
 * from a connection that has been chosen to be closed. Confined to the event loop.
 */
final class ConnectionGuard extends ChannelDuplexHandler implements HeldMemory.Owner {
    /** A body is kept in a buffer that doubles when it grows. */
    private static final int BODY_FACTOR = 2;

    /** Memory of a request besides its fields and its body. */
    private static final int REQUEST_OVERHEAD_BYTES = 1_024;

    /** Far longer than a caller inside its limits pauses while it reads slowly. */
    private static final long NO_PROGRESS_MILLIS = 60_000;

    private final ConnectionProtection protection;
    private final ConnectionLimit<ConnectionGuard> connections;
    private final HeldMemory.Share share;
    private final IncomingHead incomingHead;
    /** What each request holds that has not got its whole response, the oldest first. */
    private final Deque<Long> requestBytes = new ArrayDeque<>();

    private Channel channel;
    private boolean isReadingRequest;
    private boolean discards;
    private Optional<Future<?>> progressCheck = Optional.empty();
    private long bufferedResponseBytes;
    private long unreadBytes;
    private long writtenBytes;

    ConnectionGuard(
            ConnectionProtection protection,
            ConnectionLimit<ConnectionGuard> connections,
            Supplier<CallerLimits> limits) {
        this.protection = protection;
        this.connections = connections;
        this.share = protection.memory().open(this);
        this.incomingHead = new IncomingHead(this::tryHold, share::release, this::evict, limits);
    }

    /** Returns the part that sees the bytes before the codec, and counts the fields that the codec reads. */
    IncomingHead incomingHead() {
        return incomingHead;
    }

    /** Returns whether a connection may buffer more of a response. */
    static boolean tryBufferResponse(Channel channel, int bytes) {
        ConnectionGuard guard = channel.pipeline().get(ConnectionGuard.class);
        if (guard == null) {
            return true;
        }
        boolean held = guard.tryHold((long) bytes * BODY_FACTOR);
        guard.bufferedResponseBytes += held ? (long) bytes * BODY_FACTOR : 0;
        return held;
    }

    private boolean tryHold(long bytes) {
        return share.tryHold(bytes, protection.nowMillis());
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        switch (connections.admit(this)) {
            case ConnectionLimit.Decision.Refused<ConnectionGuard> refused -> {
                protection.record(ConnectionProtection.Event.REFUSED_CONNECTION);
                channel.close();
            }
            case ConnectionLimit.Decision.Admitted<ConnectionGuard> admitted -> {
                admitted.replaced().ifPresent(replaced -> {
                    protection.record(ConnectionProtection.Event.CLOSED_FOR_ANOTHER);
                    replaced.channel.close();
                });
                context.fireChannelActive();
            }
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        connections.remove(this);
        share.close();
        progressCheck.ifPresent(check -> check.cancel(false));
        context.fireChannelInactive();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (discards || !(message instanceof HttpObject part)) {
            ReferenceCountUtil.release(message);
            return;
        }
        boolean hasMemory = !(part instanceof HttpRequest request) || holdHead(request);
        if (hasMemory && part instanceof HttpContent content) {
            hasMemory = holdBody(content);
        }
        if (!hasMemory && part.decoderResult().isSuccess()) {
            part.setDecoderResult(DecoderResult.failure(new MemoryShortageException()));
        }
        if (part.decoderResult().isFailure()) {
            passInvalid(context, part);
            return;
        }
        if (part instanceof LastHttpContent) {
            isReadingRequest = false;
            incomingHead.takeUnheldBytes();
            share.release(incomingHead.takeHeadBytes());
        }
        incomingHead.onDecoded();
        context.fireChannelRead(part);
    }

    private boolean holdHead(HttpRequest request) {
        connections.recordRequest(this);
        if (request.headers() instanceof CountedHeaders counted) {
            counted.endReading();
        }
        isReadingRequest = true;
        long moreBytes = REQUEST_OVERHEAD_BYTES + incomingHead.takeUnheldBytes();
        boolean held = tryHold(moreBytes);
        requestBytes.addLast(incomingHead.takeHeadBytes() + (held ? moreBytes : 0));
        return held;
    }

    private boolean holdBody(HttpContent content) {
        long bytes = (long) content.content().readableBytes() * BODY_FACTOR;
        if (bytes == 0 || requestBytes.isEmpty()) {
            return true;
        }
        if (!tryHold(bytes)) {
            return false;
        }
        requestBytes.addLast(requestBytes.removeLast() + bytes);
        return true;
    }

    /** Passes on a request whose rest is discarded. */
    private void passInvalid(ChannelHandlerContext context, HttpObject part) {
        discards = true;
        isReadingRequest = false;
        incomingHead.discard();
        if (!requestBytes.isEmpty()) {
            share.release(requestBytes.removeLast());
            requestBytes.addLast(0L);
        }
        if (part.decoderResult().cause() instanceof MemoryShortageException) {
            protection.record(ConnectionProtection.Event.REFUSED_FOR_MEMORY);
        }
        context.fireChannelRead(part);
    }

    /**
     * Returns whether more requests may be read: not while responses wait that the other end does not read, unless a single
     * request is under way, whose caller may leave.
     */
    static boolean mayRead(Channel channel) {
        ConnectionGuard guard = channel.pipeline().get(ConnectionGuard.class);
        return channel.isWritable() || guard == null || guard.requestBytes.size() == 1;
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        boolean isInterim = message instanceof HttpResponse response
                && response.status().codeClass() == HttpResponseStatus.CONTINUE.codeClass();
        boolean isEnd = message instanceof LastHttpContent && !isInterim;
        restate();
        context.write(message, promise);
        share.release(bufferedResponseBytes);
        bufferedResponseBytes = 0;
        if (isEnd && !requestBytes.isEmpty()) {
            share.release(requestBytes.removeFirst());
        }
        long unreadBefore = unreadBytes;
        unreadBytes = pendingBytes();
        writtenBytes += Math.max(0, unreadBytes - unreadBefore);
        if (unreadBytes > unreadBefore) {
            share.hold(unreadBytes - unreadBefore, protection.nowMillis());
        } else {
            share.release(unreadBefore - unreadBytes);
        }
    }

    @Override
    public void flush(ChannelHandlerContext context) {
        context.flush();
        restate();
        if (unreadBytes > 0 && progressCheck.isEmpty()) {
            watchProgress();
        }
    }

    /** Closes the connection if its other end reads nothing for a time. */
    private void watchProgress() {
        long flushedBefore = flushedBytes();
        progressCheck = Optional.of(channel.eventLoop()
                .schedule(() -> checkProgress(flushedBefore), NO_PROGRESS_MILLIS, TimeUnit.MILLISECONDS));
    }

    private void checkProgress(long flushedBefore) {
        progressCheck = Optional.empty();
        restate();
        if (unreadBytes == 0) {
            return;
        }
        if (flushedBytes() > flushedBefore) {
            watchProgress();
            return;
        }
        protection.record(ConnectionProtection.Event.CLOSED_WITHOUT_PROGRESS);
        channel.close();
    }

    private long flushedBytes() {
        ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
        // A message counts as pending until the whole of it has been sent.
        return writtenBytes - unreadBytes + (pending == null ? 0 : pending.currentProgress());
    }

    private long pendingBytes() {
        ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
        return pending == null ? 0 : pending.totalPendingWriteBytes();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        restate();
        context.fireChannelWritabilityChanged();
    }

    @Override
    public void restate() {
        if (channel == null) {
            return;
        }
        long pendingBytes = pendingBytes();
        if (pendingBytes < unreadBytes) {
            share.release(unreadBytes - pendingBytes);
            unreadBytes = pendingBytes;
        }
    }

    @Override
    public boolean isEvictable() {
        return isReadingRequest || incomingHead.isHolding() || unreadBytes > 0;
    }

    @Override
    public void evict() {
        protection.record(ConnectionProtection.Event.CLOSED_FOR_MEMORY);
        discards = true;
        channel.eventLoop().execute(channel::close);
    }
}
