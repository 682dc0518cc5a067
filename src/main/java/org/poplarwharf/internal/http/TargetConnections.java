package org.poplarwharf.internal.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * The connections to targets, kept idle by target between requests.
 *
 * <p>Invariant: a connection carries one request at a time and is kept only after a complete answer. Confined to its
 * event loop.
 */
public final class TargetConnections {
    /** Idle connections kept to one target; requests of one node seldom overlap more than this at a target. */
    private static final int MAX_IDLE_PER_TARGET = 3;

    private static final int MAX_HEADER_BYTES = 65_536;

    private final EventLoop loop;
    private final Map<String, Deque<TargetConnection>> idleByTarget = new HashMap<>();

    public TargetConnections(EventLoop loop) {
        this.loop = loop;
    }

    /** How a connection is chosen and opened. Immutable. */
    public record Opening(String targetId, InetSocketAddress address, int connectTimeoutMillis, long maxIdleMillis) {}

    /** Sends the request on a kept connection that was idle for no longer than allowed, or on a new one. */
    public SentRequest send(Opening opening, FullHttpRequest request, AnswerListener listener) {
        TargetConnection kept = takeIdle(opening);
        if (kept != null) {
            kept.send(request, listener);
            return kept;
        }
        TargetConnection connection = new TargetConnection(opening.targetId(), this);
        ChannelFuture connecting = Sockets.outgoing(loop, opening.connectTimeoutMillis())
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpClientCodec(
                                        new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES), false, false))
                                .addLast(connection);
                    }
                })
                .connect(opening.address());
        connection.opening(connecting, request, listener);
        return connection;
    }

    /** Closes the idle connections to a target that has gone. */
    public void forget(String targetId) {
        Deque<TargetConnection> idle = idleByTarget.remove(targetId);
        if (idle != null) {
            idle.forEach(TargetConnection::closeIdle);
        }
    }

    private TargetConnection takeIdle(Opening opening) {
        Deque<TargetConnection> idle = idleByTarget.get(opening.targetId());
        if (idle == null) {
            return null;
        }
        for (Iterator<TargetConnection> connections = idle.iterator(); connections.hasNext(); ) {
            TargetConnection connection = connections.next();
            connections.remove();
            if (connection.usableAfterIdle(opening.maxIdleMillis())) {
                return connection;
            }
            connection.closeIdle();
        }
        return null;
    }

    void keep(TargetConnection connection) {
        Deque<TargetConnection> idle =
                idleByTarget.computeIfAbsent(connection.targetId(), target -> new ArrayDeque<>());
        idle.push(connection);
        if (idle.size() > MAX_IDLE_PER_TARGET) {
            idle.removeLast().closeIdle();
        }
    }

    void dropIdle(TargetConnection connection) {
        Deque<TargetConnection> idle = idleByTarget.get(connection.targetId());
        if (idle != null && idle.remove(connection) && idle.isEmpty()) {
            idleByTarget.remove(connection.targetId());
        }
    }
}
