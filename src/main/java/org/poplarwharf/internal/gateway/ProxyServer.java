package org.poplarwharf.internal.gateway;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.poplarwharf.FailureCode;
import org.poplarwharf.internal.http.SocketBootstraps;

/**
 * Accepts connections from callers.
 *
 * <p>Invariant: while draining, the last response of each connection asks its caller to close it, and idle connections
 * are closed once the server stops accepting new ones and has read what had arrived. Confined to the event loop, except
 * for its construction.
 */
final class ProxyServer {
    /** Large enough for a burst of new connections within one iteration of the event loop. */
    private static final int MAX_BACKLOG_COUNT = 512;

    /**
     * Above any limit that an operator sets, so that a caller over that limit gets a response and not just a closed
     * connection.
     */
    static final int MAX_HEADER_BYTES = 128 * 1024;

    private static final int MAX_CHUNK_BYTES = 64 * 1024;

    /** Long enough for a caller to send its next request after a response that it has just got. */
    private static final long NEXT_REQUEST_MILLIS = 200;

    private final GatewayContext context;
    private final Set<CallerConnection> connections = new LinkedHashSet<>();
    private final List<Channel> listeners = new ArrayList<>();
    private boolean draining;
    private long acceptsUntilMillis;
    private boolean ending;

    ProxyServer(GatewayContext context) {
        this.context = context;
    }

    /** Accepts connections of callers at an address, or of other nodes that pass on requests of theirs. */
    ChannelFuture listen(EventLoopGroup group, InetSocketAddress address, boolean fromPeers) {
        ChannelFuture bound = SocketBootstraps.publicServer(group)
                .option(ChannelOption.SO_BACKLOG, MAX_BACKLOG_COUNT)
                // Leaves it to the connection when it closes after the end of its caller's output.
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        ConnectionGuard guard = new ConnectionGuard(
                                context.protection(), context.protection().callers(), context::callerLimits);
                        HttpDecoderConfig config = new HttpDecoderConfig()
                                .setMaxInitialLineLength(MAX_HEADER_BYTES)
                                .setMaxHeaderSize(MAX_HEADER_BYTES)
                                .setMaxChunkSize(MAX_CHUNK_BYTES)
                                .setHeadersFactory(guard.incomingHead())
                                .setTrailersFactory(guard.incomingHead());
                        channel.pipeline()
                                .addLast(guard.incomingHead())
                                .addLast(new HttpServerCodec(config))
                                .addLast(guard)
                                .addLast(new CallerConnection(
                                        context, ProxyServer.this, channel.eventLoop(), fromPeers));
                    }
                })
                .bind(address);
        listeners.add(bound.channel());
        return bound;
    }

    void addConnection(CallerConnection connection) {
        connections.add(connection);
    }

    void removeConnection(CallerConnection connection) {
        connections.remove(connection);
    }

    boolean isDraining() {
        return draining;
    }

    /**
     * Begins the grace period of a drain.
     *
     * @param acceptingEndMillis when the node will stop accepting connections, on the clock of the gateway
     * @param requestsEndMillis when the requests that are still in flight will be ended, on the same clock
     */
    void beginGracePeriod(long acceptingEndMillis, long requestsEndMillis) {
        acceptsUntilMillis = acceptingEndMillis;
        context.gracePeriod().begin(requestsEndMillis);
        connections.forEach(CallerConnection::recordInFlight);
    }

    /** Makes each response from now on, behind which no request waits, ask its caller to close the connection. */
    void startDraining() {
        draining = true;
    }

    /** Refuses the requests that have been sent to no target and that this node would not run to their end. */
    void refuseLateRequests() {
        exchanges().forEach(ProxyExchange::refuseIfTooLate);
    }

    /** Stops accepting connections. */
    void stopAccepting() {
        listeners.forEach(Channel::close);
    }

    /** Closes the connections without a request, those that were just used a moment later. */
    void closeIdle() {
        acceptsUntilMillis = 0;
        List.copyOf(connections).forEach(CallerConnection::closeSoonIfIdle);
    }

    /** Responds to all requests under way, and to those behind them, without a result. */
    void endExchanges() {
        ending = true;
        exchanges().forEach(exchange -> exchange.end(FailureCode.SHUTTING_DOWN, "node ends", 0));
    }

    private List<ProxyExchange> exchanges() {
        return connections.stream()
                .flatMap(connection -> connection.exchange().stream())
                .toList();
    }

    boolean isEnding() {
        return ending;
    }

    int inFlightCount() {
        return (int) connections.stream().filter(CallerConnection::isBusy).count();
    }

    /**
     * Returns for how many milliseconds a connection may be idle in a drain: long enough for a next request and, as callers
     * could as well open a new connection, until the node stops accepting these.
     */
    long maxIdleMillis() {
        return Math.max(NEXT_REQUEST_MILLIS, acceptsUntilMillis - context.nowMillis());
    }

    /** Returns whether a connection of a caller is open. */
    boolean hasConnections() {
        return !connections.isEmpty();
    }
}
