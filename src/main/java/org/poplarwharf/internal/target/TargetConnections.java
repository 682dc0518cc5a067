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
public final class TargetConnections {
    private static final int MAX_IDLE_PER_TARGET = 32;

    private final NioReactor reactor;
    private final IDnsClient dns;
    private final long progressTimeoutMillis;
    private final Map<String, Deque<TargetConnection>> idle = new HashMap<>();

    public TargetConnections(NioReactor reactor, long progressTimeoutMillis) {
        this.reactor = reactor;
        this.progressTimeoutMillis = progressTimeoutMillis;
        this.dns = DnsClient.create(reactor, InetAddress.getLoopbackAddress());
    }

    /** Returns a connection that was used before, or a fresh one. */
    public TargetConnection borrow(String address) {
        Deque<TargetConnection> known = idle.get(address);
        if (known == null || known.isEmpty()) {
            return fresh(address);
        }
        return known.pop();
    }

    /** Returns a connection that was never used before; others to the address that are idle are dropped. */
    public TargetConnection freshAfterStall(String address) {
        Deque<TargetConnection> suspects = idle.remove(address);
        if (suspects != null) {
            suspects.forEach(TargetConnection::abort);
        }
        return fresh(address);
    }

    /** Returns a connection for one exchange that must never be sent twice. */
    public TargetConnection once(String address, long timeoutMillis) {
        return new TargetConnection(reactor, dns, address, timeoutMillis, false);
    }

    /** Takes a connection back after a whole answer. */
    public void giveBack(TargetConnection connection) {
        Deque<TargetConnection> known = idle.computeIfAbsent(connection.address(), a -> new ArrayDeque<>());
        if (connection.idle() && known.size() < MAX_IDLE_PER_TARGET) {
            known.push(connection);
            return;
        }
        connection.abort();
    }

    /** Closes every idle connection. */
    public void close() {
        idle.values().forEach(known -> known.forEach(TargetConnection::abort));
        idle.clear();
    }

    /** Returns a connection that was never used before. */
    public TargetConnection fresh(String address) {
        return new TargetConnection(reactor, dns, address, progressTimeoutMillis, true);
    }
}
