package org.poplarwharf.internal.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import jdk.net.ExtendedSocketOptions;

/** The socket options that all connections of a node share. Stateless and thread-safe. */
public final class Sockets {
    /** Seconds of silence before, and between, keep-alive probes; the least that sockets take. */
    private static final int KEEP_ALIVE_SECONDS = 1;

    /** Unanswered probes that end a connection, so that a silent path shows within three seconds. */
    private static final int KEEP_ALIVE_PROBES = 2;

    private Sockets() {}

    /** Returns a bootstrap that takes connections. */
    public static ServerBootstrap incoming(EventLoopGroup group) {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true);
    }

    /** Returns a bootstrap for outgoing connections. */
    public static Bootstrap outgoing(EventLoop loop, int connectTimeoutMillis) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES);
    }
}
