package org.poplarwharf.internal.target;

import io.activej.dns.IDnsClient;
import io.activej.http.HttpClient;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;

/**
 * One connection to a target, which carries one exchange at a time and can be aborted at any moment.
 *
 * <p>Invariant: a client of its own stands behind each instance, so that its socket is known and nothing is sent again
 * on another one. Belongs to one reactor thread.
 */
public final class AbortableConnection {
    private static final Duration CONNECT_LIMIT = Duration.ofSeconds(1);
    private static final Duration KEEP_ALIVE = Duration.ofSeconds(5);

    private final NioReactor reactor;
    private final String address;
    private final long progressTimeoutMillis;
    private final HttpClient client;
    private Optional<TcpSocket> socket = Optional.empty();
    private boolean sent;
    private boolean isStalled;
    private boolean aborted;

    AbortableConnection(
            NioReactor reactor, IDnsClient dns, String address, long progressTimeoutMillis, boolean reusable) {
        this.reactor = reactor;
        this.address = address;
        this.progressTimeoutMillis = progressTimeoutMillis;
        Sockets sockets = new Sockets();
        // The client of this release calls the inspector for TLS on plain sockets, and the other way round.
        HttpClient.Builder builder = HttpClient.builder(reactor, dns)
                .withConnectTimeout(CONNECT_LIMIT)
                .withSocketInspector(sockets)
                .withSocketSslInspector(sockets);
        this.client = (reusable ? builder.withKeepAliveTimeout(KEEP_ALIVE) : builder.withNoKeepAlive()).build();
    }

    public String address() {
        return address;
    }

    /** Begins an exchange; the promise fails when no progress is made in time. */
    public Promise<HttpResponse> exchange(HttpRequest request) {
        return exchange(request, progressTimeoutMillis);
    }

    /** Begins an exchange; the promise fails when the answer does not begin in time. */
    public Promise<HttpResponse> exchange(HttpRequest request, long firstByteLimitMillis) {
        sent = socket.isPresent();
        return withTimeout(firstByteLimitMillis, client.request(request));
    }

    /** Tells whether the connection carried an exchange before and may have been lost sight of since. */
    public boolean wasUsedBefore() {
        return socket.isPresent();
    }

    /** Tells whether any byte of the present request may have reached the target. */
    public boolean mayHaveSentBytes() {
        return sent;
    }

    /** Tells whether the connection was given up for want of progress. */
    public boolean isStalled() {
        return isStalled;
    }

    /** Aborts the connection when a step takes longer than the progress timeout. */
    public <T> Promise<T> withProgressTimeout(Promise<T> step) {
        return withTimeout(progressTimeoutMillis, step);
    }

    private <T> Promise<T> withTimeout(long limitMillis, Promise<T> step) {
        if (step.isComplete()) {
            return step;
        }
        ScheduledRunnable timer = reactor.delayBackground(limitMillis, this::stall);
        return step.whenComplete(timer::cancel);
    }

    /** Closes the connection; an engine takes this for a cancellation. */
    public void abort() {
        aborted = true;
        socket.ifPresent(open -> open.closeEx(new IOException("the exchange was given up")));
    }

    boolean isReusable() {
        return !aborted;
    }

    private void stall() {
        isStalled = true;
        abort();
    }

    /** Learns which socket the client opened. */
    private final class Sockets extends TcpSocket.JmxInspector {
        @Override
        public void onConnect(TcpSocket opened) {
            super.onConnect(opened);
            socket = Optional.of(opened);
            sent = true;
            if (aborted) {
                reactor.post(opened::close);
            }
        }

        @Override
        public void onDisconnect(TcpSocket closed) {
            super.onDisconnect(closed);
            socket = socket.filter(open -> open != closed);
        }
    }
}
