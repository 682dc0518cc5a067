package org.poplarwharf.internal.gateway;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.poplarwharf.internal.http.Sockets;

/**
 * Answers whether this node takes callers, and shows its metrics. Confined to the event loop.
 *
 * <p>{@code GET /metrics} gives the text form of Prometheus; any other path is a question for readiness.
 */
final class ReadyServer {
    private static final int MAX_QUESTION_BYTES = 16 * 1024;
    private static final String METRICS_PATH = "/metrics";

    private final BooleanSupplier ready;
    private final Supplier<byte[]> metrics;

    ReadyServer(BooleanSupplier ready, Supplier<byte[]> metrics) {
        this.ready = ready;
        this.metrics = metrics;
    }

    ChannelFuture listen(EventLoopGroup group, InetSocketAddress address) {
        return Sockets.incoming(group)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec())
                                .addLast(new HttpObjectAggregator(MAX_QUESTION_BYTES))
                                .addLast(new Questions());
                    }
                })
                .bind(address);
    }

    private final class Questions extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest question) {
            boolean forMetrics = question.uri().startsWith(METRICS_PATH);
            HttpResponseStatus status =
                    forMetrics || ready.getAsBoolean() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
            byte[] body = forMetrics ? metrics.get() : new byte[0];
            DefaultFullHttpResponse answer =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
            answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            boolean keepAlive = HttpUtil.isKeepAlive(question);
            HttpUtil.setKeepAlive(answer, keepAlive);
            ChannelFuture written = context.writeAndFlush(answer);
            if (!keepAlive) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
