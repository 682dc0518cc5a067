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
 * <p>Invariant: a direction that has lost bytes never passes any again, and then an end that closes is not told to the
 * other. Belongs to one reactor thread.
 */
final class ProxyConnection {
    private final NioReactor reactor;
    private final TcpSocket client;
    private final TcpSocket upstream;
    private final Supplier<LinkFaults> faults;
    private final Consumer<ProxyConnection> onClosed;
    private final Pump toUpstream;
    private final Pump toClient;
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
        this.toUpstream = new Pump(client, upstream, () -> this.faults.get().toUpstream());
        this.toClient = new Pump(upstream, client, () -> this.faults.get().toClient());
    }

    void start() {
        toUpstream.pump();
        toClient.pump();
    }

    /** Loses from now on all that either end sends. */
    void silence() {
        toUpstream.lost = true;
        toClient.lost = true;
        faultsChanged();
    }

    /** Keeps all bytes back from now on, or lets them go. */
    void freeze(boolean on) {
        frozen = on;
        faultsChanged();
    }

    /** Lets data go that a fault kept back and no longer does. */
    void faultsChanged() {
        toUpstream.release();
        toClient.release();
    }

    /** Closes both ends with a reset. */
    void reset() {
        abort(client);
        abort(upstream);
        finish();
    }

    private void end(Exception failure) {
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

    static void abort(TcpSocket socket) {
        IOException reset = new IOException("reset by a fault");
        try {
            if (!socket.isClosed()) {
                socket.getSocketChannel().setOption(StandardSocketOptions.SO_LINGER, 0);
            }
            socket.closeEx(reset);
        } catch (IOException e) {
            reset.addSuppressed(e);
            socket.closeEx(reset);
        }
    }

    private final class Pump {
        private final TcpSocket from;
        private final TcpSocket to;
        private final Supplier<LinkFaults.Direction> direction;
        private SettablePromise<Void> released = new SettablePromise<>();
        private boolean lost;
        private boolean ended;

        private Pump(TcpSocket from, TcpSocket to, Supplier<LinkFaults.Direction> direction) {
            this.from = from;
            this.to = to;
            this.direction = direction;
        }

        private void pump() {
            from.read().whenComplete(this::onRead);
        }

        private void onRead(ByteBuf data, Exception failure) {
            if (closed) {
                recycle(data);
                return;
            }
            if (failure != null) {
                onEnd(() -> end(failure));
                return;
            }
            ready().whenResult(() -> deliver(data));
        }

        private void onEnd(Runnable unlessLost) {
            ready().whenResult(() -> {
                if (!isLost()) {
                    unlessLost.run();
                }
            });
        }

        private Promise<Void> ready() {
            LinkFaults.Direction now = direction.get();
            Promise<Void> delayed =
                    now.delayMillis() > 0 ? Promises.delay(reactor, now.delayMillis()) : Promise.complete();
            return delayed.then(this::whileHeld);
        }

        private Promise<Void> whileHeld() {
            boolean held = frozen || direction.get().hold();
            return held && !isLost() ? released.then(this::whileHeld) : Promise.complete();
        }

        private boolean isLost() {
            return lost || direction.get().silent();
        }

        private void deliver(ByteBuf data) {
            if (closed) {
                recycle(data);
                return;
            }
            if (isLost()) {
                lost = true;
                boolean more = data != null;
                recycle(data);
                if (more) {
                    pump();
                }
                return;
            }
            ended = data == null;
            to.write(data).whenComplete((ignored, failure) -> onWritten(failure));
        }

        private void onWritten(Exception failure) {
            if (closed) {
                return;
            }
            if (failure != null) {
                end(failure);
            } else if (!ended) {
                pump();
            } else if (toUpstream.ended && toClient.ended) {
                end(new IOException("both ends have closed"));
            }
        }

        private void release() {
            SettablePromise<Void> waiting = released;
            released = new SettablePromise<>();
            waiting.set(null);
        }

        private void recycle(ByteBuf data) {
            if (data != null) {
                data.recycle();
            }
        }
    }
}
