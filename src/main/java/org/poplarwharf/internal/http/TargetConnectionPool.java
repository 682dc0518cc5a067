package org.poplarwharf.internal.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;

/**
 * A pool of connections to targets, with a list of idle connections for each target.
 *
 * <p>Invariant: a connection carries one request at a time and returns to the pool only after a complete response.
 * Confined to its event loop.
 */
public final class TargetConnectionPool {
    /** Idle connections per target. Requests of one node to one target rarely overlap more than this. */
    private static final int MAX_IDLE_PER_TARGET_COUNT = 3;

    private static final int MAX_HEADER_BYTES = 65_536;

    private final EventLoop loop;
    private final ConnectionObserver observer;
    private final BrokenResponseObserver brokenResponses;
    private final Map<String, Deque<TargetConnection>> idleByTarget = new HashMap<>();

    public TargetConnectionPool(EventLoop loop, ConnectionObserver observer, BrokenResponseObserver brokenResponses) {
        this.loop = loop;
        this.observer = observer;
        this.brokenResponses = brokenResponses;
    }

    /** The target of a connection and the limits for reusing or opening it. Immutable. */
    public record ConnectionSpec(
            String targetId, InetSocketAddress address, int connectTimeoutMillis, long maxIdleMillis) {}

    /**
     * Sends the request on a pooled connection that was idle for no longer than allowed, or on a new one.
     *
     * @param unsuitable connections on which the request must not be sent; they stay in the pool
     */
    public InFlightRequest send(
            ConnectionSpec spec, FullHttpRequest request, ResponseListener listener, Set<InFlightRequest> unsuitable) {
        TargetConnection pooled = takeIdle(spec, unsuitable);
        if (pooled != null) {
            pooled.send(request, listener);
            return pooled;
        }
        return sendOnNewConnection(spec, request, listener);
    }

    /** Sends the request on a new connection. */
    public InFlightRequest sendOnNewConnection(
            ConnectionSpec spec, FullHttpRequest request, ResponseListener listener) {
        ResponseDecoder decoder =
                new ResponseDecoder(new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES), brokenResponses);
        TargetConnection connection = new TargetConnection(spec.targetId(), this, decoder);
        ChannelFuture connecting = SocketBootstraps.client(loop, spec.connectTimeoutMillis())
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new InputEndVerifier())
                                .addLast(decoder)
                                .addLast(new HttpRequestEncoder())
                                .addLast(connection);
                    }
                })
                .connect(spec.address());
        connection.sendWhenConnected(connecting, request, listener);
        return connection;
    }

    /** Closes the idle connections to a removed target. */
    public void closeIdle(String targetId) {
        Deque<TargetConnection> idle = idleByTarget.remove(targetId);
        if (idle != null) {
            idle.forEach(TargetConnection::close);
        }
    }

    private TargetConnection takeIdle(ConnectionSpec spec, Set<InFlightRequest> unsuitable) {
        Deque<TargetConnection> idle = idleByTarget.get(spec.targetId());
        if (idle == null) {
            return null;
        }
        for (Iterator<TargetConnection> connections = idle.iterator(); connections.hasNext(); ) {
            TargetConnection connection = connections.next();
            if (unsuitable.contains(connection)) {
                continue;
            }
            connections.remove();
            if (connection.isReusable(spec.maxIdleMillis())) {
                return connection;
            }
            connection.close();
        }
        return null;
    }

    ConnectionObserver observer() {
        return observer;
    }

    void release(TargetConnection connection) {
        Deque<TargetConnection> idle =
                idleByTarget.computeIfAbsent(connection.targetId(), target -> new ArrayDeque<>());
        idle.push(connection);
        if (idle.size() > MAX_IDLE_PER_TARGET_COUNT) {
            idle.removeLast().close();
        }
    }

    void removeIdle(TargetConnection connection) {
        Deque<TargetConnection> idle = idleByTarget.get(connection.targetId());
        if (idle != null && idle.remove(connection) && idle.isEmpty()) {
            idleByTarget.remove(connection.targetId());
        }
    }
}
