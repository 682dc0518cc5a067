package org.poplarwharf.internal.standin;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * One connection through the proxy.
 *
 * <p>Invariants: a direction that has dropped bytes never forwards bytes again, and no longer forwards a close. A side that
 * resets its connection resets that of the other side; an end is forwarded as an end. Confined to one reactor thread.
 */
final class ProxyConnection {
    private final NioReactor reactor;
    private final TcpSocket client;
    private final TcpSocket upstream;
    private final Supplier<LinkFaults> faults;
    private final Consumer<ProxyConnection> onClosed;
    private final Forwarder toUpstream;
    private final Forwarder toClient;
    private boolean closed;
    private boolean frozen;

    ProxyConnection(
            NioReactor reactor,
            TcpSocket client,
            TcpSocket upstream,
            Supplier<LinkFaults> faults,
            Consumer<ProxyConnection> onClosed) {
        this.reactor = reactor;
        this.client = client;
        this.upstream = upstream;
        this.faults = faults;
        this.onClosed = onClosed;
        this.toUpstream =
                new Forwarder(client, upstream, () -> this.faults.get().toUpstream());
        this.toClient = new Forwarder(upstream, client, () -> this.faults.get().toClient());
    }

    void start() {
        toUpstream.readNext();
        toClient.readNext();
    }

    /** Drops all data that either side sends from now on. */
    void silence() {
        toUpstream.dropping = true;
        toClient.dropping = true;
        faultsChanged();
    }

    /** Holds back all data from now on, or forwards it again. */
    void setFrozen(boolean isFrozen) {
        frozen = isFrozen;
        faultsChanged();
    }

    /** Forwards data that was held back by a fault that no longer applies. */
    void faultsChanged() {
        toUpstream.release();
        toClient.release();
    }

    /** Closes both sides with a TCP reset. */
    void reset() {
        abort(client);
        abort(upstream);
        finish();
    }

    private void close(Exception failure) {
        client.closeEx(failure);
        upstream.closeEx(failure);
        finish();
    }

    private void finish() {
        if (!closed) {
            closed = true;
            onClosed.accept(this);
        }
    }

    /** Closes a socket with a TCP reset (zero linger time). */
    static void abort(TcpSocket socket) {
        IOException cause = new IOException("connection reset by an injected fault");
        try {
            if (!socket.isClosed()) {
                socket.getSocketChannel().setOption(StandardSocketOptions.SO_LINGER, 0);
            }
            socket.closeEx(cause);
        } catch (IOException e) {
            cause.addSuppressed(e);
            socket.closeEx(cause);
        }
    }

    /** Forwards data in one direction. */
    private final class Forwarder {
        private final TcpSocket from;
        private final TcpSocket to;
        private final Supplier<LinkFaults.Direction> direction;
        private SettablePromise<Void> released = new SettablePromise<>();
        private boolean dropping;
        private boolean inputEnded;

        private Forwarder(TcpSocket from, TcpSocket to, Supplier<LinkFaults.Direction> direction) {
            this.from = from;
            this.to = to;
            this.direction = direction;
        }

        private void readNext() {
            from.read().whenComplete(this::onRead);
        }

        private void onRead(ByteBuf data, Exception failure) {
            if (closed) {
                recycle(data);
                return;
            }
            if (failure != null) {
                forwardClose(ProxyConnection.this::reset);
                return;
            }
            awaitFaults().whenResult(() -> forward(data));
        }

        private void forwardClose(Runnable closeAction) {
            awaitFaults().whenResult(() -> {
                if (!isDropping()) {
                    closeAction.run();
                }
            });
        }

        private Promise<Void> awaitFaults() {
            LinkFaults.Direction currentFaults = direction.get();
            Promise<Void> delayed = currentFaults.delayMillis() > 0
                    ? Promises.delay(reactor, currentFaults.delayMillis())
                    : Promise.complete();
            return delayed.then(this::awaitRelease);
        }

        private Promise<Void> awaitRelease() {
            boolean isHeld = frozen || direction.get().hold();
            return isHeld && !isDropping() ? released.then(this::awaitRelease) : Promise.complete();
        }

        private boolean isDropping() {
            return dropping || direction.get().silent();
        }

        private void forward(ByteBuf data) {
            if (closed) {
                recycle(data);
                return;
            }
            if (isDropping()) {
                dropping = true;
                boolean hasData = data != null;
                recycle(data);
                if (hasData) {
                    readNext();
                }
                return;
            }
            inputEnded = data == null;
            to.write(data).whenComplete((ignored, failure) -> onWritten(failure));
        }

        private void onWritten(Exception failure) {
            if (closed) {
                return;
            }
            if (failure != null) {
                reset();
            } else if (!inputEnded) {
                readNext();
            } else if (toUpstream.inputEnded && toClient.inputEnded) {
                close(new IOException("both sides have closed the connection"));
            }
        }

        private void release() {
            SettablePromise<Void> previousRelease = released;
            released = new SettablePromise<>();
            previousRelease.set(null);
        }

        private void recycle(ByteBuf data) {
            if (data != null) {
                data.recycle();
            }
        }
    }
}
