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
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.poplarwharf.internal.fleet.CallerLimits;
import org.poplarwharf.internal.http.SocketBootstraps;

/**
 * Serves the readiness check and the metrics of this node. Confined to the event loop.
 *
 * <p>Invariant: a connection that brings more requests while its responses are unread is closed.
 *
 * <p>{@code GET /metrics} returns the metrics in the Prometheus text format. Any other path is a readiness check.
 */
final class ReadinessServer {
    private static final int MAX_REQUEST_BYTES = 16 * 1024;
    private static final String METRICS_PATH = "/metrics";

    private static final CallerLimits LIMITS = new CallerLimits(MAX_REQUEST_BYTES, MAX_REQUEST_BYTES, 5_000, 15_000);

    private final ConnectionProtection protection;
    private final BooleanSupplier ready;
    private final Supplier<byte[]> metrics;

    ReadinessServer(ConnectionProtection protection, BooleanSupplier ready, Supplier<byte[]> metrics) {
        this.protection = protection;
        this.ready = ready;
        this.metrics = metrics;
    }

    ChannelFuture listen(EventLoopGroup group, InetSocketAddress address) {
        return SocketBootstraps.publicServer(group)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        ConnectionGuard guard = new ConnectionGuard(protection, protection.readiness(), () -> LIMITS);
                        HttpDecoderConfig config = new HttpDecoderConfig()
                                .setHeadersFactory(guard.incomingHead())
                                .setTrailersFactory(guard.incomingHead());
                        channel.pipeline()
                                .addLast(guard.incomingHead())
                                .addLast(new HttpServerCodec(config))
                                .addLast(guard)
                                .addLast(new HttpObjectAggregator(MAX_REQUEST_BYTES))
                                .addLast(new RequestHandler());
                    }
                })
                .bind(address);
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (request.decoderResult().isFailure() || !context.channel().isWritable()) {
                context.close();
                return;
            }
            boolean isMetricsRequest = request.uri().startsWith(METRICS_PATH);
            HttpResponseStatus status = isMetricsRequest || ready.getAsBoolean()
                    ? HttpResponseStatus.OK
                    : HttpResponseStatus.SERVICE_UNAVAILABLE;
            byte[] body = isMetricsRequest ? metrics.get() : new byte[0];
            DefaultFullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            HttpUtil.setKeepAlive(response, keepAlive);
            ChannelFuture written = context.writeAndFlush(response);
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
