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
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * An HTTP client for short calls over pooled connections, with one call at a time on each connection.
 *
 * <p>Invariant: each call has exactly one result, no later than its timeout. Bytes that are no response are none, whatever
 * status they state. A response without a length is complete only
 * if the peer ended its connection. A response with the id of another call is the result of none. A connection is not
 * reused after a call that got no response, nor after a response or bytes that belong to no call. Confined to its event
 * loop.
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
    private final BrokenResponseObserver brokenResponses;
    private final Map<InetSocketAddress, Deque<Connection>> idleByAddress = new HashMap<>();

    public PooledHttpClient(EventLoop loop, BrokenResponseObserver brokenResponses) {
        this.loop = loop;
        this.brokenResponses = brokenResponses;
    }

    /**
     * A request and its timeout. Immutable. The body is not copied.
     *
     * @param id sent with the request, to tell its response from those to other calls
     */
    public record Call(
            InetSocketAddress address,
            HttpMethod method,
            String uri,
            Map<String, String> headers,
            byte[] body,
            long timeoutMillis,
            Optional<CallId> id) {}

    /** The name and the value of a header that is different for each call, and that the peer repeats in its response. */
    public record CallId(String headerName, String value) {}

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
                                .addLast(connection.decoder)
                                .addLast(new HttpRequestEncoder())
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
        private final ResponseDecoder decoder = new ResponseDecoder(new HttpDecoderConfig(), brokenResponses);
        private Optional<CallId> callId = Optional.empty();
        private boolean reusable;
        private Channel channel;
        private Consumer<HttpCallResult> callback;
        private io.netty.util.concurrent.Future<?> timeout;

        Connection(InetSocketAddress address) {
            this.address = address;
        }

        void send(Call call, Consumer<HttpCallResult> onResult) {
            DefaultFullHttpRequest request;
            try {
                request = newRequest(call);
            } catch (IllegalArgumentException e) {
                channel.close();
                onResult.accept(new HttpCallResult.NotSent("malformed request: " + e.getMessage()));
                return;
            }
            callback = onResult;
            callId = call.id();
            reusable = true;
            timeout = loop.schedule(() -> fail("no answer in time"), call.timeoutMillis(), TimeUnit.MILLISECONDS);
            decoder.expectResponse(call.method(), channel.writeAndFlush(request));
        }

        private DefaultFullHttpRequest newRequest(Call call) {
            ByteBuf body = Unpooled.wrappedBuffer(call.body());
            DefaultFullHttpRequest request =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, call.method(), call.uri(), body);
            call.headers().forEach(request.headers()::set);
            call.id().ifPresent(id -> request.headers().set(id.headerName(), id.value()));
            request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
            if (call.method() != HttpMethod.GET) {
                request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
            }
            return request;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (response.decoderResult().isFailure()) {
                fail("unreadable answer: " + response.decoderResult().cause());
                return;
            }
            if (isForOtherCall(response)) {
                reusable = false;
                return;
            }
            Consumer<HttpCallResult> onResult = takeCallback();
            if (onResult == null) {
                channel.close();
                return;
            }
            decoder.endResponse();
            HttpCallResult.Response result = new HttpCallResult.Response(
                    response.status().code(), response.headers(), ByteBufUtil.getBytes(response.content()));
            Deque<Connection> idle = idleByAddress.computeIfAbsent(address, key -> new ArrayDeque<>());
            reusable &= HttpUtil.isKeepAlive(response) && !inputEnd.isInputEnded() && !decoder.hasSurplusBytes();
            if (reusable && idle.size() < MAX_IDLE_PER_ADDRESS_COUNT) {
                idle.push(this);
            } else {
                channel.close();
            }
            onResult.accept(result);
        }

        /** Returns whether a response is a late one to an earlier call. A peer that repeats no id can't be told. */
        private boolean isForOtherCall(FullHttpResponse response) {
            return callId.map(id -> response.headers().get(id.headerName()))
                    .filter(repeated -> !repeated.equals(callId.get().value()))
                    .isPresent();
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (callback == null && decoder.hasSurplusBytes()) {
                fail("bytes after the response");
            }
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
