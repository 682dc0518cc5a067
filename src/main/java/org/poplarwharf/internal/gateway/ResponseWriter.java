package org.poplarwharf.internal.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Writes the responses of a caller's connection.
 *
 * <p>Invariant: while a response is held back, its parts are kept and later written in order. Confined to the event loop.
 */
final class ResponseWriter {
    private final Channel channel;
    private final ReadTurn readTurn;
    private final List<Runnable> heldParts = new ArrayList<>();
    private boolean chunked;

    ResponseWriter(Channel channel, ReadTurn readTurn) {
        this.channel = channel;
        this.readTurn = readTurn;
    }

    /** Returns whether a response is held back. */
    boolean isHolding() {
        return !heldParts.isEmpty();
    }

    /** Holds a response back until what has arrived on the connection has been read, or the condition holds. */
    void holdUntilRead(Runnable start, BooleanSupplier hasReadEnough) {
        heldParts.add(start);
        readTurn.await(hasReadEnough, this::writeHeldParts);
    }

    /** Writes what is held back. */
    void writeHeldParts() {
        List<Runnable> parts = List.copyOf(heldParts);
        heldParts.clear();
        parts.forEach(Runnable::run);
    }

    /** Runs the action once the parts before have been written. */
    void runInOrder(Runnable action) {
        if (isHolding()) {
            heldParts.add(action);
        } else {
            action.run();
        }
    }

    void writeContinue() {
        channel.writeAndFlush(
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }

    /** Writes a complete response. Takes ownership of the body. */
    ChannelFuture writeWhole(int status, HttpHeaders headers, ByteBuf body) {
        return channel.writeAndFlush(new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), body, headers, new DefaultHttpHeaders()));
    }

    /** Writes the head of a response whose body is sent in chunks, or ends with the connection. */
    void writeHead(int status, HttpHeaders headers, boolean inChunks) {
        chunked = inChunks;
        if (chunked) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else {
            LingeringClose.setResetOnClose(channel, true);
        }
        channel.write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers));
    }

    /** Writes a chunk in order. Takes ownership of it. */
    void writeChunk(ByteBuf chunk) {
        if (chunk.isReadable()) {
            runInOrder(() -> channel.write(new DefaultHttpContent(chunk)));
        } else {
            chunk.release();
        }
    }

    ChannelFuture writeEnd() {
        ChannelFuture written = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        if (!chunked) {
            written.addListener(done -> LingeringClose.setResetOnClose(channel, !done.isSuccess()));
        }
        return written;
    }
}
