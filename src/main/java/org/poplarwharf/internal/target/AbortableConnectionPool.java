package org.poplarwharf.internal.target;

import io.activej.dns.DnsClient;
import io.activej.dns.IDnsClient;
import io.activej.reactor.nio.NioReactor;
import java.net.InetAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Pools connections to targets for one traffic thread.
 *
 * <p>Invariant: a connection serves one exchange at a time and returns to the pool only after a complete response.
 * Confined to one reactor thread.
 */
public final class AbortableConnectionPool {
    private static final int MAX_IDLE_PER_TARGET = 32;

    private final NioReactor reactor;
    private final IDnsClient dns;
    private final long progressTimeoutMillis;
    private final Map<String, Deque<AbortableConnection>> idleByAddress = new HashMap<>();

    public AbortableConnectionPool(NioReactor reactor, long progressTimeoutMillis) {
        this.reactor = reactor;
        this.progressTimeoutMillis = progressTimeoutMillis;
        this.dns = DnsClient.create(reactor, InetAddress.getLoopbackAddress());
    }

    /** Returns an idle connection to the address, or a new one if none is idle. */
    public AbortableConnection acquire(String address) {
        Deque<AbortableConnection> idleConnections = idleByAddress.get(address);
        if (idleConnections == null || idleConnections.isEmpty()) {
            return open(address);
        }
        return idleConnections.pop();
    }

    /** Returns a new connection and closes all idle connections to the address, as they may have stalled as well. */
    public AbortableConnection openAfterStall(String address) {
        Deque<AbortableConnection> idleConnections = idleByAddress.remove(address);
        if (idleConnections != null) {
            idleConnections.forEach(AbortableConnection::abort);
        }
        return open(address);
    }

    /** Returns a new connection for a single exchange that must never be sent twice. */
    public AbortableConnection openSingleUse(String address, long timeoutMillis) {
        return new AbortableConnection(reactor, dns, address, timeoutMillis, false);
    }

    /** Returns a connection to the pool after a complete response. */
    public void release(AbortableConnection connection) {
        Deque<AbortableConnection> idleConnections =
                idleByAddress.computeIfAbsent(connection.address(), a -> new ArrayDeque<>());
        if (connection.isReusable() && idleConnections.size() < MAX_IDLE_PER_TARGET) {
            idleConnections.push(connection);
            return;
        }
        connection.abort();
    }

    /** Closes every idle connection. */
    public void close() {
        idleByAddress.values().forEach(connections -> connections.forEach(AbortableConnection::abort));
        idleByAddress.clear();
    }

    /** Returns a new connection. */
    public AbortableConnection open(String address) {
        return new AbortableConnection(reactor, dns, address, progressTimeoutMillis, true);
    }
}
