package org.poplarwharf.internal.gateway;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.poplarwharf.internal.http.Sockets;

/**
 * Takes callers' connections.
 *
 * <p>Invariant: while draining, each answer asks its caller to close, and idle connections are closed once callers no
 * longer arrive. Confined to the event loop, but for its construction.
 */
final class FrontServer {
    /** Enough for a burst of new connections within one turn of the event loop. */
    private static final int BACKLOG = 512;

    /** Above any operator's limit; a caller beyond its limit is told so before this ends its connection. */
    private static final int MAX_HEADER_BYTES = 128 * 1024;

    private static final int MAX_CHUNK_BYTES = 64 * 1024;

    private final GatewayParts parts;
    private final Set<FrontConnection> connections = new LinkedHashSet<>();
    private Channel listener;
    private boolean draining;

    FrontServer(GatewayParts parts) {
        this.parts = parts;
    }

    ChannelFuture listen(EventLoopGroup group, InetSocketAddress address) {
        ChannelFuture bound = Sockets.incoming(group)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        HttpDecoderConfig config = new HttpDecoderConfig()
                                .setMaxInitialLineLength(MAX_HEADER_BYTES)
                                .setMaxHeaderSize(MAX_HEADER_BYTES)
                                .setMaxChunkSize(MAX_CHUNK_BYTES);
                        channel.pipeline()
                                .addLast(new HttpServerCodec(config))
                                .addLast(new FrontConnection(parts, FrontServer.this, channel.eventLoop()));
                    }
                })
                .bind(address);
        listener = bound.channel();
        return bound;
    }

    void opened(FrontConnection connection) {
        connections.add(connection);
    }

    void closed(FrontConnection connection) {
        connections.remove(connection);
    }

    boolean draining() {
        return draining;
    }

    /** Asks callers to leave with their next answers. */
    void startDraining() {
        draining = true;
    }

    /** Takes no more connections, and closes those without a request. */
    void closeIdle() {
        listener.close();
        List.copyOf(connections).forEach(FrontConnection::closeIfIdle);
    }

    int underWay() {
        return (int) connections.stream().filter(FrontConnection::busy).count();
    }
}
