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
 * The connections of one traffic thread to targets, kept for reuse.
 *
 * <p>Invariant: a connection is lent to one exchange at a time, and comes back only after a whole answer. Belongs to
 * one reactor thread.
 */
public final class AbortableConnectionPool {
    private static final int MAX_IDLE_PER_TARGET = 32;

    private final NioReactor reactor;
    private final IDnsClient dns;
    private final long progressTimeoutMillis;
    private final Map<String, Deque<AbortableConnection>> idle = new HashMap<>();

    public AbortableConnectionPool(NioReactor reactor, long progressTimeoutMillis) {
        this.reactor = reactor;
        this.progressTimeoutMillis = progressTimeoutMillis;
        this.dns = DnsClient.create(reactor, InetAddress.getLoopbackAddress());
    }

    /** Returns a connection that was used before, or a fresh one. */
    public AbortableConnection acquire(String address) {
        Deque<AbortableConnection> known = idle.get(address);
        if (known == null || known.isEmpty()) {
            return open(address);
        }
        return known.pop();
    }

    /** Returns a connection that was never used before; others to the address that are idle are dropped. */
    public AbortableConnection openAfterStall(String address) {
        Deque<AbortableConnection> suspects = idle.remove(address);
        if (suspects != null) {
            suspects.forEach(AbortableConnection::abort);
        }
        return open(address);
    }

    /** Returns a connection for one exchange that must never be sent twice. */
    public AbortableConnection openSingleUse(String address, long timeoutMillis) {
        return new AbortableConnection(reactor, dns, address, timeoutMillis, false);
    }

    /** Takes a connection back after a whole answer. */
    public void release(AbortableConnection connection) {
        Deque<AbortableConnection> known = idle.computeIfAbsent(connection.address(), a -> new ArrayDeque<>());
        if (connection.isReusable() && known.size() < MAX_IDLE_PER_TARGET) {
            known.push(connection);
            return;
        }
        connection.abort();
    }

    /** Closes every idle connection. */
    public void close() {
        idle.values().forEach(known -> known.forEach(AbortableConnection::abort));
        idle.clear();
    }

    /** Returns a connection that was never used before. */
    public AbortableConnection open(String address) {
        return new AbortableConnection(reactor, dns, address, progressTimeoutMillis, true);
    }
}
