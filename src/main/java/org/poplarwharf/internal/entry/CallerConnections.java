package org.poplarwharf.internal.entry;

import io.activej.bytebuf.ByteBuf;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpServer;
import io.activej.http.HttpServerConnection;
import io.activej.http.PoolLabel;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The connections of callers to the HTTP server of one traffic thread.
 *
 * <p>Invariant: a connection is closed only without a request under way, and after a turn of the event loop in which
 * nothing was read from it. Confined to the traffic thread.
 */
final class CallerConnections {
    /** Time for a caller to send a request on a connection that it has just opened or whose response it just got. */
    private static final long IDLE_GRACE_MILLIS = 200;

    private static final Duration IDLE_POLL_INTERVAL = Duration.ofMillis(20);

    private final Eventloop loop;
    private final Map<TcpSocket, HttpServerConnection> open = new HashMap<>();
    private final Set<TcpSocket> readInTurn = new HashSet<>();
    private TcpSocket accepted;

    CallerConnections(Eventloop loop) {
        this.loop = loop;
    }

    /** Registers this object with a server that is being built. */
    HttpServer.Builder track(HttpServer.Builder server) {
        return server.withSocketInspector(new SocketTracker()).withInspector(new ConnectionTracker());
    }

    Eventloop loop() {
        return loop;
    }

    /**
     * Closes each connection once it is idle. The promise completes when all are closed. Called once, when no connection
     * is accepted any more. Polls, because a server that doesn't listen itself can't be closed.
     */
    Promise<Void> closeAll() {
        return closeIdle()
                .then(() -> open.isEmpty()
                        ? Promise.complete()
                        : Promises.delay(IDLE_POLL_INTERVAL).then(this::closeAll));
    }

    private Promise<Void> closeIdle() {
        readInTurn.clear();
        return LoopTurn.next(loop)
                .whenResult(() -> Map.copyOf(open).forEach((socket, connection) -> {
                    if (isIdle(connection) && !readInTurn.contains(socket)) {
                        socket.close();
                    }
                }));
    }

    private boolean isIdle(HttpServerConnection connection) {
        PoolLabel pool = connection.getCurrentPool();
        long idleMillis =
                loop.currentTimeMillis() - connection.getPoolTimestamp().toMillis();
        return (pool == PoolLabel.NEW || pool == PoolLabel.KEEP_ALIVE) && idleMillis >= IDLE_GRACE_MILLIS;
    }

    /** Tracks the sockets. The server creates the connection of a socket right after it has opened the socket. */
    private final class SocketTracker extends TcpSocket.JmxInspector {
        @Override
        public void onConnect(TcpSocket socket) {
            super.onConnect(socket);
            accepted = socket;
        }

        @Override
        public void onRead(TcpSocket socket, ByteBuf read) {
            super.onRead(socket, read);
            readInTurn.add(socket);
        }

        @Override
        public void onDisconnect(TcpSocket socket) {
            super.onDisconnect(socket);
            open.remove(socket);
            readInTurn.remove(socket);
        }
    }

    private final class ConnectionTracker extends HttpServer.JmxInspector {
        @Override
        public void onAccept(HttpServerConnection connection) {
            super.onAccept(connection);
            open.put(accepted, connection);
        }
    }
}
