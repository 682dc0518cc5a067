package org.poplarwharf.internal.target;

import io.activej.dns.IDnsClient;
import io.activej.http.HttpClient;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import org.poplarwharf.internal.response.VerifyingSocketInspector;

/**
 * A connection to a target that carries one exchange at a time and can be aborted at any time.
 *
 * <p>Invariants: each instance owns an HTTP client, so that its socket is known and the client never resends a request
 * on another connection. Bytes that are no response fail the exchange, whatever status they state; a connection that has
 * carried bytes behind a response is not reused. Confined to one reactor thread.
 */
public final class AbortableConnection {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration KEEP_ALIVE = Duration.ofSeconds(5);

    private final NioReactor reactor;
    private final String address;
    private final long progressTimeoutMillis;
    private final HttpClient client;
    private final SocketTracker socketTracker = new SocketTracker();
    private Optional<TcpSocket> socket = Optional.empty();
    private boolean mayHaveSentBytes;
    private boolean isStalled;
    private boolean aborted;
    private boolean hasSurplusBytes;

    AbortableConnection(
            NioReactor reactor, IDnsClient dns, String address, long progressTimeoutMillis, boolean reusable) {
        this.reactor = reactor;
        this.address = address;
        this.progressTimeoutMillis = progressTimeoutMillis;
        HttpClient.Builder builder =
                socketTracker.addTo(HttpClient.builder(reactor, dns)).withConnectTimeout(CONNECT_TIMEOUT);
        this.client = (reusable ? builder.withKeepAliveTimeout(KEEP_ALIVE) : builder.withNoKeepAlive()).build();
    }

    public String address() {
        return address;
    }

    /** Starts an exchange. The promise fails if the response does not begin within the progress timeout. */
    public Promise<HttpResponse> exchange(HttpRequest request) {
        return withProgressTimeout(start(request));
    }

    /** Starts an exchange. The promise fails if the response does not begin within the given time. */
    public Promise<HttpResponse> exchange(HttpRequest request, long firstByteTimeoutMillis) {
        return withTimeout(firstByteTimeoutMillis, start(request));
    }

    /** Starts an exchange that may begin at any time. The action runs each time a progress timeout has passed. */
    public Promise<HttpResponse> exchange(HttpRequest request, Runnable onSilence) {
        return watch(start(request), onSilence);
    }

    private Promise<HttpResponse> start(HttpRequest request) {
        mayHaveSentBytes = socket.isPresent();
        socketTracker.expectResponseTo(request);
        return client.request(request);
    }

    /** Returns whether the connection carried an earlier exchange, so that the target may have closed it unnoticed. */
    public boolean wasUsedBefore() {
        return socket.isPresent();
    }

    /** Returns whether any byte of the current request may have reached the target. */
    public boolean mayHaveSentBytes() {
        return mayHaveSentBytes;
    }

    /** Returns whether the connection was aborted because it made no progress within a timeout. */
    public boolean isStalled() {
        return isStalled;
    }

    /** Aborts the connection if the step takes longer than the progress timeout. */
    public <T> Promise<T> withProgressTimeout(Promise<T> step) {
        return withTimeout(progressTimeoutMillis, step);
    }

    /** Runs the action each time the step has made no progress for another progress timeout. The step goes on. */
    public <T> Promise<T> watch(Promise<T> step, Runnable onSilence) {
        if (step.isComplete()) {
            return step;
        }
        SilenceTimer timer = new SilenceTimer(onSilence);
        timer.schedule();
        return step.whenComplete(timer::cancel);
    }

    private <T> Promise<T> withTimeout(long timeoutMillis, Promise<T> step) {
        if (step.isComplete()) {
            return step;
        }
        ScheduledRunnable timer = reactor.delayBackground(timeoutMillis, this::abortStalled);
        return step.whenComplete(timer::cancel);
    }

    /** Closes the connection. An engine treats this as a cancellation of the request. */
    public void abort() {
        aborted = true;
        socket.ifPresent(open -> open.closeEx(new IOException("the exchange was aborted")));
    }

    boolean isReusable() {
        return !aborted && !hasSurplusBytes;
    }

    private void abortStalled() {
        isStalled = true;
        abort();
    }

    /** Runs an action after each progress timeout until it is cancelled. */
    private final class SilenceTimer {
        private final Runnable onSilence;
        private ScheduledRunnable next;

        private SilenceTimer(Runnable onSilence) {
            this.onSilence = onSilence;
        }

        private void schedule() {
            next = reactor.delayBackground(progressTimeoutMillis, this::onTimeout);
        }

        private void onTimeout() {
            schedule();
            onSilence.run();
        }

        private void cancel() {
            next.cancel();
        }
    }

    /** Tracks the socket that the client has opened. */
    private final class SocketTracker extends VerifyingSocketInspector {
        private void expectResponseTo(HttpRequest request) {
            setHeadRequest(request.getMethod() == HttpMethod.HEAD);
        }

        @Override
        protected void onSurplusBytes() {
            hasSurplusBytes = true;
        }

        @Override
        public void onConnect(TcpSocket opened) {
            super.onConnect(opened);
            socket = Optional.of(opened);
            mayHaveSentBytes = true;
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
