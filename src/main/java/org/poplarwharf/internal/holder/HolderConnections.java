package org.poplarwharf.internal.holder;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.codec.MessagePackCodec;
import org.poplarwharf.internal.gateway.ConnectionLimit;
import org.poplarwharf.internal.http.SocketBootstraps;

/**
 * Opens and accepts connections between nodes. Messages are encoded with MessagePack in length-prefixed frames.
 *
 * <p>Invariant: a running process closes a connection only with a reset, so that the regular end of a connection shows that
 * the process at its other end has ended. Confined to the event loop.
 */
final class HolderConnections {
    private static final int LENGTH_BYTES = 4;
    private static final int MAX_FRAME_BYTES = 1 << 20;
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final MessagePackCodec<HolderMessage> CODEC = new MessagePackCodec<>(HolderMessage.class);

    private HolderConnections() {}

    /** Receives the events of a connection. */
    interface Handler {
        void opened(Connection connection);

        void received(Connection connection, HolderMessage message);

        /**
         * Called when a connection has been closed.
         *
         * @param endedByPeer whether the other end has ended the connection in the regular way, without a reset
         */
        void closed(Connection connection, boolean endedByPeer);
    }

    /** One end of a connection. */
    static final class Connection {
        private final Channel channel;

        Connection(Channel channel) {
            this.channel = channel;
        }

        /** Returns a name that no other connection has had. */
        String id() {
            return channel.id().asLongText();
        }

        void send(HolderMessage message) {
            channel.writeAndFlush(Unpooled.wrappedBuffer(CODEC.encode(message)));
        }

        /** Closes the connection with a reset. */
        void close() {
            reset(channel);
        }
    }

    /** Accepts connections; one that has not sent a message is closed for another one over the limit on their number. */
    static ChannelFuture listen(EventLoopGroup group, InetSocketAddress address, Handler handler, int maxCount) {
        ConnectionLimit<Channel> limit = new ConnectionLimit<>(maxCount, false);
        return SocketBootstraps.server(group)
                .childHandler(pipelineInitializer(handler, Optional.of(limit)))
                .bind(address);
    }

    static ChannelFuture connect(EventLoop loop, InetSocketAddress address, Handler handler) {
        return SocketBootstraps.client(loop, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .handler(pipelineInitializer(handler, Optional.empty()))
                .connect(address);
    }

    private static void reset(Channel channel) {
        if (channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }

    private static ChannelInitializer<Channel> pipelineInitializer(
            Handler handler, Optional<ConnectionLimit<Channel>> limit) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline()
                        .addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                        .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                        .addLast(new FrameHandler(handler));
                limit.ifPresent(accepted -> channel.pipeline()
                        .addBefore(channel.pipeline().lastContext().name(), null, new LimitHandler(accepted)));
            }
        };
    }

    /** Admits an accepted connection, and records that it has sent a message. */
    private static final class LimitHandler extends ChannelInboundHandlerAdapter {
        private final ConnectionLimit<Channel> limit;

        LimitHandler(ConnectionLimit<Channel> limit) {
            this.limit = limit;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            switch (limit.admit(context.channel())) {
                case ConnectionLimit.Decision.Refused<Channel> refused -> reset(context.channel());
                case ConnectionLimit.Decision.Admitted<Channel> admitted -> {
                    admitted.replaced().ifPresent(HolderConnections::reset);
                    context.fireChannelActive();
                }
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            limit.recordRequest(context.channel());
            context.fireChannelRead(message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            limit.remove(context.channel());
            context.fireChannelInactive();
        }
    }

    private static final class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private final Handler handler;
        private Connection connection;
        private boolean endedByPeer;

        FrameHandler(Handler handler) {
            this.handler = handler;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            connection = new Connection(context.channel());
            handler.opened(connection);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
            HolderMessage message;
            try {
                message = CODEC.decode(ByteBufUtil.getBytes(frame), "another node");
            } catch (PoplarWharfException e) {
                reset(context.channel());
                return;
            }
            handler.received(connection, message);
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof ChannelInputShutdownEvent) {
                endedByPeer = true;
                context.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (connection != null) {
                handler.closed(connection, endedByPeer);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            reset(context.channel());
        }
    }
}
