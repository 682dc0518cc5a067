package org.poplarwharf.internal.holder;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.poplarwharf.internal.http.RefusalProbe;
import org.poplarwharf.internal.topic.TopicFollower;

/**
 * The connection of a node to the lease holder that it follows; opened again when it has been closed. The holder counts as
 * ended if its address refuses connections, or if another process responds there.
 *
 * <p>Invariant: at most one connection is in use; one that was begun to an earlier holder is closed and shows nothing of
 * the next one. Confined to the event loop.
 */
final class HolderLink {
    private static final long RECONNECT_DELAY_MILLIS = 250;

    private final EventLoop loop;
    private final TopicFollower.Timer timer;
    private final HolderConnections.Handler handler;
    private final BooleanSupplier wantsConnection;
    private final EndListener endListener;
    private Optional<InetSocketAddress> address = Optional.empty();
    private String incarnation = "";
    private Optional<Attempt> current = Optional.empty();

    /** Receives the end of the followed holder's process. */
    interface EndListener {
        void holderEnded(String incarnation);
    }

    HolderLink(
            EventLoop loop,
            TopicFollower.Timer timer,
            HolderConnections.Handler handler,
            BooleanSupplier wantsConnection,
            EndListener endListener) {
        this.loop = loop;
        this.timer = timer;
        this.handler = handler;
        this.wantsConnection = wantsConnection;
        this.endListener = endListener;
    }

    /** Connects to a holder, unless it is the one that is followed already. */
    void follow(InetSocketAddress holderAddress, String holderIncarnation) {
        if (holderIncarnation.equals(incarnation)) {
            return;
        }
        incarnation = holderIncarnation;
        address = Optional.of(holderAddress);
        Optional<Attempt> previous = current;
        current = Optional.empty();
        previous.flatMap(attempt -> attempt.connection).ifPresent(connection -> {
            connection.close();
            handler.closed(connection);
        });
        connect();
    }

    /** Returns the incarnation of the followed holder; empty if there is none. */
    String incarnation() {
        return incarnation;
    }

    boolean isConnected() {
        return current.flatMap(attempt -> attempt.connection).isPresent();
    }

    /** Sends a message, if there is a connection. */
    void send(HolderMessage message) {
        current.flatMap(attempt -> attempt.connection).ifPresent(open -> open.send(message));
    }

    private void connect() {
        if (current.isPresent() || address.isEmpty() || !wantsConnection.getAsBoolean()) {
            return;
        }
        Attempt attempt = new Attempt(incarnation);
        current = Optional.of(attempt);
        ChannelFuture connecting = HolderConnections.connect(loop, address.get(), attempt);
        connecting.addListener(result -> {
            if (!result.isSuccess()) {
                attempt.failed(result.cause());
            }
        });
    }

    private void reconnectLater() {
        current = Optional.empty();
        timer.schedule(RECONNECT_DELAY_MILLIS, this::connect);
    }

    /** One connection, open or being opened, to the holder that was followed when it was begun. */
    private final class Attempt implements HolderConnections.Handler {
        private final String expectedIncarnation;
        private Optional<HolderConnections.Connection> connection = Optional.empty();

        Attempt(String expectedIncarnation) {
            this.expectedIncarnation = expectedIncarnation;
        }

        private boolean isCurrent() {
            return current.filter(attempt -> attempt == this).isPresent();
        }

        void failed(Throwable cause) {
            if (!isCurrent()) {
                return;
            }
            if (RefusalProbe.isRefused(cause)) {
                endListener.holderEnded(expectedIncarnation);
            }
            reconnectLater();
        }

        @Override
        public void opened(HolderConnections.Connection opened) {
            if (!isCurrent()) {
                opened.close();
                return;
            }
            connection = Optional.of(opened);
            handler.opened(opened);
        }

        @Override
        public void received(HolderConnections.Connection sender, HolderMessage message) {
            if (!isCurrent()) {
                return;
            }
            if (message instanceof HolderMessage.Heartbeat heartbeat
                    && !heartbeat.incarnation().equals(expectedIncarnation)) {
                endListener.holderEnded(expectedIncarnation);
                return;
            }
            handler.received(sender, message);
        }

        @Override
        public void closed(HolderConnections.Connection closed) {
            if (!isCurrent()) {
                return;
            }
            reconnectLater();
            handler.closed(closed);
        }
    }
}
