package org.poplarwharf.internal.holder;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.poplarwharf.internal.http.RefusalProbe;
import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.topic.TopicFollower;

/**
 * The connection of a node to the lease holder that it follows; opened again when it has been closed. It also determines
 * whether the holder's process has ended.
 *
 * <p>Invariants: at most one connection is in use; one that was opened to an earlier holder is closed. The holder counts as
 * ended in two cases only: another process responds at its address, or it has ended its connection in the regular way,
 * which a running process does not do ({@link HolderConnections}), and its address refuses connections. Resets and
 * refusals alone show nothing, because a network path that is cut off may also respond with them. Confined to the event
 * loop.
 */
final class HolderLink {
    private static final long RECONNECT_DELAY_MILLIS = 250;

    private final EventLoop loop;
    private final TopicFollower.Timer timer;
    private final DecisionLog log;
    private final HolderConnections.Handler handler;
    private final BooleanSupplier wantsConnection;
    private final EndListener endListener;
    private Optional<InetSocketAddress> address = Optional.empty();
    private String incarnation = "";
    private Optional<Attempt> current = Optional.empty();
    private boolean hasEndedConnection;
    private boolean hasLoggedRefusal;
    private boolean hasLoggedEnd;

    /** Receives the end of the followed holder's process. */
    interface EndListener {
        void holderEnded(String incarnation);
    }

    HolderLink(
            EventLoop loop,
            TopicFollower.Timer timer,
            DecisionLog log,
            HolderConnections.Handler handler,
            BooleanSupplier wantsConnection,
            EndListener endListener) {
        this.loop = loop;
        this.timer = timer;
        this.log = log;
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
        hasEndedConnection = false;
        hasLoggedRefusal = false;
        hasLoggedEnd = false;
        Optional<Attempt> previous = current;
        current = Optional.empty();
        previous.flatMap(attempt -> attempt.connection).ifPresent(connection -> {
            connection.close();
            handler.closed(connection, false);
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

    private void reportEnd(String evidence) {
        if (!hasLoggedEnd) {
            hasLoggedEnd = true;
            log.log("holder-ended", "holder", incarnation, "evidence", evidence);
        }
        endListener.holderEnded(incarnation);
    }

    /** One connection, open or being opened, to the holder that was followed when it was begun. */
    private final class Attempt implements HolderConnections.Handler {
        private final String expectedIncarnation;
        private Optional<HolderConnections.Connection> connection = Optional.empty();
        private boolean isIdentified;

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
                handleRefusal();
            }
            reconnectLater();
        }

        private void handleRefusal() {
            if (hasEndedConnection) {
                reportEnd("connection ended, address refuses others");
            } else if (!hasLoggedRefusal) {
                hasLoggedRefusal = true;
                log.log("holder-refuses-connections", "holder", expectedIncarnation);
            }
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
            if (message instanceof HolderMessage.Heartbeat heartbeat) {
                if (!heartbeat.incarnation().equals(expectedIncarnation)) {
                    reportEnd("another process responds at its address");
                    return;
                }
                isIdentified = true;
                hasEndedConnection = false;
            }
            handler.received(sender, message);
        }

        @Override
        public void closed(HolderConnections.Connection closed, boolean endedByPeer) {
            if (!isCurrent()) {
                return;
            }
            hasEndedConnection |= endedByPeer && isIdentified;
            log.log("holder-connection-closed", "holder", expectedIncarnation, "endedByPeer", endedByPeer);
            reconnectLater();
            handler.closed(closed, endedByPeer);
        }
    }
}
