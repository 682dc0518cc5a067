package org.poplarwharf.internal.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import jdk.net.ExtendedSocketOptions;

/** Creates bootstraps with the socket options that all connections of a node share. Stateless and thread-safe. */
public final class SocketBootstraps {
    /**
     * The idle time before the first keep-alive probe and between probes. One second is the minimum that sockets
     * accept.
     */
    private static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;

    /**
     * Unanswered probes after which a connection is closed, so that a dead network path is detected within three
     * seconds.
     */
    private static final int MAX_KEEP_ALIVE_PROBE_COUNT = 2;

    private static final int MIN_READ_BYTES = 64;
    private static final int INITIAL_READ_BYTES = 2_048;
    private static final int MAX_READ_BYTES = 16 * 1024;

    private SocketBootstraps() {}

    /** Returns a bootstrap for servers that accept connections. */
    public static ServerBootstrap server(EventLoopGroup group) {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true);
    }

    /**
     * Returns a bootstrap for servers that accept connections of anyone. It reads little of each connection in one turn of the
     * event loop, so that connections that always have more to read leave time for the others.
     */
    public static ServerBootstrap publicServer(EventLoopGroup group) {
        return server(group)
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                                .maxMessagesPerRead(1));
    }

    /** Returns a bootstrap for outgoing connections. */
    public static Bootstrap client(EventLoop loop, int connectTimeoutMillis) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_INTERVAL_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_INTERVAL_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), MAX_KEEP_ALIVE_PROBE_COUNT);
    }
}
