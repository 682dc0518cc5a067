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
 * Makes short calls over kept connections, one call at a time on each.
 *
 * <p>Invariant: each call has exactly one outcome, no later than its timeout; a connection without an answer is never
 * used again. Confined to its event loop.
 */
public final class HttpCaller {
    private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;
    private static final int MAX_IDLE_PER_ADDRESS = 2;

    /** A new connection within one site takes a few milliseconds; more means that the path or the peer is down. */
    private static final int CONNECT_TIMEOUT_MILLIS = 400;

    private final EventLoop loop;
    private final Map<InetSocketAddress, Deque<Connection>> idle = new HashMap<>();

    public HttpCaller(EventLoop loop) {
        this.loop = loop;
    }

    /** One call. Immutable; the body is not copied. */
    public record Call(
            InetSocketAddress address,
            HttpMethod method,
            String target,
            Map<String, String> headers,
            byte[] body,
            long timeoutMillis) {}

    /** Makes the call and gives its outcome on the event loop. */
    public void call(Call call, Consumer<CallOutcome> outcome) {
        Deque<Connection> kept = idle.get(call.address());
        while (kept != null && !kept.isEmpty()) {
            Connection connection = kept.pop();
            if (connection.channel.isActive()) {
                connection.send(call, outcome);
                return;
            }
        }
        connect(call, outcome);
    }

    private void connect(Call call, Consumer<CallOutcome> outcome) {
        Connection connection = new Connection(call.address());
        int connectTimeoutMillis = (int) Math.min(CONNECT_TIMEOUT_MILLIS, call.timeoutMillis());
        ChannelFuture connecting = Sockets.outgoing(loop, connectTimeoutMillis)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpClientCodec())
                                .addLast(new HttpObjectAggregator(MAX_ANSWER_BYTES))
                                .addLast(connection);
                    }
                })
                .connect(call.address());
        connecting.addListener(done -> {
            if (!done.isSuccess()) {
                outcome.accept(new CallOutcome.NotSent(String.valueOf(done.cause())));
                return;
            }
            connection.channel = connecting.channel();
            connection.send(call, outcome);
        });
    }

    /** A connection with at most one call under way. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final InetSocketAddress address;
        private Channel channel;
        private Consumer<CallOutcome> waiting;
        private io.netty.util.concurrent.Future<?> timeout;

        Connection(InetSocketAddress address) {
            this.address = address;
        }

        void send(Call call, Consumer<CallOutcome> outcome) {
            waiting = outcome;
            timeout = loop.schedule(() -> fail("no answer in time"), call.timeoutMillis(), TimeUnit.MILLISECONDS);
            ByteBuf body = Unpooled.wrappedBuffer(call.body());
            DefaultFullHttpRequest request =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, call.method(), call.target(), body);
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
            Consumer<CallOutcome> done = settle();
            if (done == null) {
                channel.close();
                return;
            }
            CallOutcome.Answered answer = new CallOutcome.Answered(
                    response.status().code(), response.headers(), ByteBufUtil.getBytes(response.content()));
            Deque<Connection> kept = idle.computeIfAbsent(address, key -> new ArrayDeque<>());
            if (HttpUtil.isKeepAlive(response) && kept.size() < MAX_IDLE_PER_ADDRESS) {
                kept.push(this);
            } else {
                channel.close();
            }
            done.accept(answer);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            Deque<Connection> kept = idle.get(address);
            if (kept != null && kept.remove(this) && kept.isEmpty()) {
                idle.remove(address);
            }
            fail("connection closed");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            fail(String.valueOf(cause));
        }

        private void fail(String reason) {
            channel.close();
            Consumer<CallOutcome> done = settle();
            if (done != null) {
                done.accept(new CallOutcome.Unanswered(reason));
            }
        }

        private Consumer<CallOutcome> settle() {
            if (timeout != null) {
                timeout.cancel(false);
                timeout = null;
            }
            Consumer<CallOutcome> done = waiting;
            waiting = null;
            return done;
        }
    }
}
