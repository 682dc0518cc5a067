package org.poplarwharf.internal.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import java.io.IOException;

/**
 * Reports a connection that closed before its peer ended it as an exception. Netty's HTTP decoder takes any close for
 * the end of a body without length or chunks, also one that follows a failed write. Must be placed before the decoder.
 * Makes its channel allow half-closure, so that the end of input is an event of its own; a later handler must close the
 * channel after it.
 *
 * <p>Invariant: {@code channelInactive} without an end of input follows an exception. Confined to the event loop.
 */
final class InputEndVerifier extends ChannelInboundHandlerAdapter {
    private boolean inputEnded;

    /** Returns whether the peer has ended the connection. */
    boolean isInputEnded() {
        return inputEnded;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        context.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            inputEnded = true;
        }
        context.fireUserEventTriggered(event);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (!inputEnded) {
            context.fireExceptionCaught(new IOException("connection closed without an end of input"));
        }
        context.fireChannelInactive();
    }
}
