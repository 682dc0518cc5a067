package org.poplarwharf.internal.holder;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.net.InetSocketAddress;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.codec.MessagePackCodec;
import org.poplarwharf.internal.http.SocketBootstraps;

/** Connections between nodes: MessagePack in frames with a length. Confined to the event loop. */
final class Links {
    private static final int LENGTH_BYTES = 4;
    private static final int MAX_FRAME_BYTES = 1 << 20;
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final MessagePackCodec<LinkMessage> CODEC = new MessagePackCodec<>(LinkMessage.class);

    private Links() {}

    /** What happens on a link. */
    interface Handler {
        void up(Link link);

        void message(Link link, LinkMessage message);

        void down(Link link);
    }

    /** One end of a connection. */
    static final class Link {
        private final Channel channel;

        Link(Channel channel) {
            this.channel = channel;
        }

        void send(LinkMessage message) {
            channel.writeAndFlush(Unpooled.wrappedBuffer(CODEC.encode(message)));
        }

        void close() {
            channel.close();
        }
    }

    static ChannelFuture listen(EventLoopGroup group, InetSocketAddress address, Handler handler) {
        return SocketBootstraps.server(group).childHandler(pipeline(handler)).bind(address);
    }

    static ChannelFuture connect(EventLoop loop, InetSocketAddress address, Handler handler) {
        return SocketBootstraps.client(loop, CONNECT_TIMEOUT_MILLIS)
                .handler(pipeline(handler))
                .connect(address);
    }

    private static ChannelInitializer<Channel> pipeline(Handler handler) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline()
                        .addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                        .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                        .addLast(new Frames(handler));
            }
        };
    }

    private static final class Frames extends SimpleChannelInboundHandler<ByteBuf> {
        private final Handler handler;
        private Link link;

        Frames(Handler handler) {
            this.handler = handler;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            link = new Link(context.channel());
            handler.up(link);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
            LinkMessage message;
            try {
                message = CODEC.decode(ByteBufUtil.getBytes(frame), "another node");
            } catch (PoplarWharfException e) {
                context.close();
                return;
            }
            handler.message(link, message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            handler.down(link);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
