package org.poplarwharf.internal.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.util.function.LongConsumer;
import java.util.function.LongPredicate;
import java.util.function.Supplier;
import org.poplarwharf.internal.fleet.CallerLimits;

/**
 * Accounts for the bytes of a connection that its codec has not decoded, and for the head or the trailers that it is
 * decoding. Sits before the HTTP codec, which gets its header fields from it.
 *
 * <p>Invariant: no more fields are kept than the limit on the size of a head allows. Confined to the event loop.
 */
final class IncomingHead extends ChannelInboundHandlerAdapter implements HttpHeadersFactory {
    /** Memory of a header field besides its characters. */
    private static final int FIELD_OVERHEAD_BYTES = 160;

    /** Memory of an element of a list, such as a part of a prompt, once it is parsed. */
    private static final int ELEMENT_BYTES = 256;

    /** Memory is held in steps, so that an ordinary head takes one. */
    private static final int FIELDS_STEP_BYTES = 4 * 1024;

    /** Shorter values are not searched for elements. */
    private static final int MIN_LIST_CHARS = 256;

    /** The codec gives a line up that is longer, and its buffer at most doubles. */
    private static final int MAX_UNDECODED_BYTES = 2 * ProxyServer.MAX_HEADER_BYTES;

    private final LongPredicate tryHold;
    private final LongConsumer release;
    private final Runnable onShortage;
    private final Supplier<CallerLimits> limits;
    private long undecodedBytes;
    private long fieldBytes;
    private long heldFieldBytes;
    private long unheldFieldBytes;
    private boolean hasDecoded;
    private boolean discards;

    /** @param onShortage called when bytes that have not been decoded find no memory */
    IncomingHead(LongPredicate tryHold, LongConsumer release, Runnable onShortage, Supplier<CallerLimits> limits) {
        this.onShortage = onShortage;
        this.tryHold = tryHold;
        this.release = release;
        this.limits = limits;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        int bytes = message instanceof ByteBuf buffer ? buffer.readableBytes() : 0;
        hasDecoded = false;
        context.fireChannelRead(message);
        if (hasDecoded || discards) {
            release.accept(undecodedBytes);
            undecodedBytes = 0;
            return;
        }
        long moreBytes = Math.min(2L * bytes, MAX_UNDECODED_BYTES - undecodedBytes);
        if (tryHold.test(moreBytes)) {
            undecodedBytes += moreBytes;
        } else {
            onShortage.run();
        }
    }

    /** Called when the codec has decoded something. */
    void onDecoded() {
        hasDecoded = true;
    }

    /** Returns what the fields hold that have been read since the last call; their holder releases it. */
    long takeHeadBytes() {
        long bytes = heldFieldBytes;
        heldFieldBytes = 0;
        hasDecoded = true;
        return bytes;
    }

    /** Returns what the fields take that have been read and that nothing is held for yet. */
    long takeUnheldBytes() {
        long bytes = unheldFieldBytes;
        unheldFieldBytes = 0;
        return bytes;
    }

    /** Releases what is held, as nothing further is decoded. */
    void discard() {
        discards = true;
        release.accept(takeHeadBytes());
    }

    boolean isHolding() {
        return undecodedBytes + heldFieldBytes > 0;
    }

    @Override
    public HttpHeaders newHeaders() {
        fieldBytes = 0;
        return new CountedHeaders(this::admit);
    }

    @Override
    public HttpHeaders newEmptyHeaders() {
        return newHeaders();
    }

    private void admit(CharSequence name, CharSequence value) {
        hasDecoded = true;
        fieldBytes += RequestReader.fieldBytes(name, value);
        if (fieldBytes > limits.get().maxHeaderBytes()) {
            throw new TooLongHttpHeaderException(RequestReader.HEADERS_OVER_LIMIT);
        }
        long bytes = FIELD_OVERHEAD_BYTES + name.length() + value.length() + elementCount(value) * ELEMENT_BYTES;
        unheldFieldBytes += bytes;
        if (unheldFieldBytes < FIELDS_STEP_BYTES) {
            return;
        }
        long stepBytes = takeUnheldBytes();
        if (!tryHold.test(stepBytes)) {
            throw new MemoryShortageException();
        }
        heldFieldBytes += stepBytes;
    }

    private static long elementCount(CharSequence value) {
        return value.length() < MIN_LIST_CHARS
                ? 0
                : value.chars().filter(character -> character == ',').count();
    }
}
