package org.poplarwharf.internal.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * An HTTP client for short calls over pooled connections, with one call at a time on each connection.
 *
 * <p>Invariant: each call has exactly one result, no later than its timeout. A response without a length is complete only
 * if the peer ended its connection. A connection whose call got no response is never reused. Confined to its event loop.
 */
public final class PooledHttpClient {
    private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
    private static final int MAX_IDLE_PER_ADDRESS_COUNT = 2;

    /**
     * A new connection within one site takes a few milliseconds. Longer means that the network path or the peer is
     * down.
     */
    private static final int CONNECT_TIMEOUT_MILLIS = 400;

    private final EventLoop loop;
    private final Map<InetSocketAddress, Deque<Connection>> idleByAddress = new HashMap<>();

    public PooledHttpClient(EventLoop loop) {
        this.loop = loop;
    }

    /** A request and its timeout. Immutable. The body is not copied. */
    public record Call(
            InetSocketAddress address,
            HttpMethod method,
            String uri,
            Map<String, String> headers,
            byte[] body,
            long timeoutMillis) {}

    /** Sends the call and passes its result to the callback on the event loop. */
    public void send(Call call, Consumer<HttpCallResult> onResult) {
        Deque<Connection> idle = idleByAddress.get(call.address());
        while (idle != null && !idle.isEmpty()) {
            Connection connection = idle.pop();
            if (connection.channel.isActive()) {
                connection.send(call, onResult);
                return;
            }
        }
        connect(call, onResult);
    }

    private void connect(Call call, Consumer<HttpCallResult> onResult) {
        Connection connection = new Connection(call.address());
        int connectTimeoutMillis = (int) Math.min(CONNECT_TIMEOUT_MILLIS, call.timeoutMillis());
        ChannelFuture connecting = SocketBootstraps.client(loop, connectTimeoutMillis)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(connection.inputEnd)
                                .addLast(new HttpClientCodec())
                                .addLast(new HttpObjectAggregator(MAX_RESPONSE_BYTES))
                                .addLast(connection);
                    }
                })
                .connect(call.address());
        connecting.addListener(done -> {
            if (!done.isSuccess()) {
                onResult.accept(new HttpCallResult.NotSent(String.valueOf(done.cause())));
                return;
            }
            connection.channel = connecting.channel();
            connection.send(call, onResult);
        });
    }

    /** A connection with at most one call in flight. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final InetSocketAddress address;
        private final InputEndVerifier inputEnd = new InputEndVerifier();
        private Channel channel;
        private Consumer<HttpCallResult> callback;
        private io.netty.util.concurrent.Future<?> timeout;

        Connection(InetSocketAddress address) {
            this.address = address;
        }

        void send(Call call, Consumer<HttpCallResult> onResult) {
            callback = onResult;
            timeout = loop.schedule(() -> fail("no answer in time"), call.timeoutMillis(), TimeUnit.MILLISECONDS);
            ByteBuf body = Unpooled.wrappedBuffer(call.body());
            DefaultFullHttpRequest request =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, call.method(), call.uri(), body);
            call.headers().forEach(request.headers()::set);
            request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
            if (call.method() != HttpMethod.GET) {
                request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
            }
            channel.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (response.decoderResult().isFailure()) {
                fail("unreadable answer");
                return;
            }
            Consumer<HttpCallResult> onResult = takeCallback();
            if (onResult == null) {
                channel.close();
                return;
            }
            HttpCallResult.Response result = new HttpCallResult.Response(
                    response.status().code(), response.headers(), ByteBufUtil.getBytes(response.content()));
            Deque<Connection> idle = idleByAddress.computeIfAbsent(address, key -> new ArrayDeque<>());
            boolean isReusable = HttpUtil.isKeepAlive(response) && !inputEnd.isInputEnded();
            if (isReusable && idle.size() < MAX_IDLE_PER_ADDRESS_COUNT) {
                idle.push(this);
            } else {
                channel.close();
            }
            onResult.accept(result);
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof ChannelInputShutdownEvent) {
                fail("connection closed");
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            fail("connection closed");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            fail(String.valueOf(cause));
        }

        private void fail(String reason) {
            Deque<Connection> idle = idleByAddress.get(address);
            if (idle != null && idle.remove(this) && idle.isEmpty()) {
                idleByAddress.remove(address);
            }
            channel.close();
            Consumer<HttpCallResult> onResult = takeCallback();
            if (onResult != null) {
                onResult.accept(new HttpCallResult.NoResponse(reason));
            }
        }

        private Consumer<HttpCallResult> takeCallback() {
            if (timeout != null) {
                timeout.cancel(false);
                timeout = null;
            }
            Consumer<HttpCallResult> onResult = callback;
            callback = null;
            return onResult;
        }
    }
}
