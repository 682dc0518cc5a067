package org.poplarwharf.internal.holder;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.poplarwharf.internal.crash.Suspect;
import org.poplarwharf.internal.crash.TargetCrash;
import org.poplarwharf.internal.dispatch.RequestNodes;
import org.poplarwharf.internal.dispatch.TargetSpeeds;
import org.poplarwharf.internal.limit.TargetLimits;
import org.poplarwharf.internal.stream.StreamOrigin;
import org.poplarwharf.internal.topic.TopicFollower;

/**
 * Sends the connected nodes what concerns all of them: heartbeats, limits and speeds of targets, crashes and questions about streams.
 *
 * <p>Invariant: only the lease holder states limits and speeds. Confined to the event loop.
 */
final class HolderAnnouncer {
    static final long HEARTBEAT_INTERVAL_MILLIS = 500;

    /** Limits are sent again with each fourth heartbeat, so that nodes agree again within two seconds in any case. */
    private static final int HEARTBEATS_PER_LIMITS_COUNT = 4;

    /** Combines changes at about the same time into one message. */
    private static final long LIMIT_DELAY_MILLIS = 20;

    /** All nodes are connected to a new holder after this time, so that origins need not be sent again. */
    private static final long CONNECTING_MILLIS = 3_000;

    /** With this node's own record, one copy is left if two nodes end at the same time. */
    private static final int ORIGIN_COPY_COUNT = 2;

    private final String nodeId;
    private final String incarnation;
    private final BooleanSupplier holding;
    private final TargetLimits targetLimits;
    private final TargetSpeeds targetSpeeds;
    private final TopicFollower.Timer timer;
    private final PeerDirectory peers;
    private final Set<HolderConnections.Connection> connections = new LinkedHashSet<>();
    private final Set<StreamOrigin> recentOrigins = new LinkedHashSet<>();
    private boolean limitsScheduled;
    private int heartbeatCount;

    HolderAnnouncer(
            String nodeId,
            String incarnation,
            BooleanSupplier holding,
            TargetLimits targetLimits,
            TargetSpeeds targetSpeeds,
            TopicFollower.Timer timer,
            LongSupplier clock) {
        this.nodeId = nodeId;
        this.incarnation = incarnation;
        this.holding = holding;
        this.targetLimits = targetLimits;
        this.targetSpeeds = targetSpeeds;
        this.timer = timer;
        this.peers = new PeerDirectory(clock);
    }

    /** Starts to send heartbeats. */
    void start() {
        timer.schedule(HEARTBEAT_INTERVAL_MILLIS, this::sendPeriodicHeartbeats);
    }

    void add(HolderConnections.Connection connection) {
        connections.add(connection);
        peers.add(connection);
        sendHeartbeat(connection, true);
        recentOrigins.forEach(origin -> sendOrigin(connection, origin));
    }

    void remove(HolderConnections.Connection connection) {
        connections.remove(connection);
        peers.remove(connection);
    }

    /** Records the state of a connected node, and tells all nodes soon if it has changed. */
    void recordPeer(HolderConnections.Connection connection, HolderMessage.PeerState state) {
        if (connections.contains(connection) && peers.record(connection, state)) {
            sendStateSoon();
        }
    }

    void recordOwnState(HolderMessage.PeerState state) {
        peers.recordOwn(state);
        sendStateSoon();
    }

    /** Returns some other nodes that reach targets. */
    List<HolderMessage.PeerState> peers() {
        return peers.namedToSelf();
    }

    /** Returns the nodes that requests come from: this one, and the others by the names of their connections. */
    RequestNodes requestNodes() {
        return peers.requestNodes();
    }

    /** Returns the number of nodes, this one included, and its position among them. */
    HolderListener.Nodes nodes() {
        return new HolderListener.Nodes(nodeCount(), peers.positionOfSelf());
    }

    private int nodeCount() {
        return connections.size() + 1;
    }

    private void sendPeriodicHeartbeats() {
        heartbeatCount++;
        sendHeartbeats(heartbeatCount % HEARTBEATS_PER_LIMITS_COUNT == 0);
        timer.schedule(HEARTBEAT_INTERVAL_MILLIS, this::sendPeriodicHeartbeats);
    }

    /** Sends a heartbeat to all nodes. */
    void sendHeartbeats(boolean withLimits) {
        connections.forEach(connection -> sendHeartbeat(connection, withLimits));
    }

    void sendHeartbeat(HolderConnections.Connection connection, boolean withLimits) {
        boolean withState = withLimits && holding.getAsBoolean();
        Optional<Map<String, Double>> limits =
                withState ? Optional.of(targetLimits.requestsPerSecondByTarget()) : Optional.empty();
        Optional<List<TargetSpeeds.Summary>> speeds =
                withState ? Optional.of(targetSpeeds.summaries()).filter(known -> !known.isEmpty()) : Optional.empty();
        Optional<List<HolderMessage.PeerState>> named =
                withState ? Optional.of(peers.namedTo(connection)) : Optional.empty();
        connection.send(
                heartbeat(limits, Optional.empty(), Optional.empty(), speeds, named, peers.positionOf(connection)));
    }

    /** Sends the limits of targets, soon after they have changed. */
    void limitsChanged() {
        sendStateSoon();
    }

    private void sendStateSoon() {
        if (holding.getAsBoolean() && !limitsScheduled) {
            limitsScheduled = true;
            timer.schedule(LIMIT_DELAY_MILLIS, () -> {
                limitsScheduled = false;
                sendHeartbeats(true);
            });
        }
    }

    /** Asks all nodes for the origin of a stream. */
    void askForStream(String streamId) {
        connections.forEach(connection -> askForStream(connection, streamId));
    }

    void askForStream(HolderConnections.Connection connection, String streamId) {
        connection.send(heartbeat(
                Optional.empty(),
                Optional.of(streamId),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty()));
    }

    /** Tells some nodes the origin of a stream that this node forwards; they know it if this node ends. */
    void copyOrigin(StreamOrigin origin) {
        recentOrigins.add(origin);
        timer.schedule(CONNECTING_MILLIS, () -> recentOrigins.remove(origin));
        connections.stream().limit(ORIGIN_COPY_COUNT).forEach(connection -> sendOrigin(connection, origin));
    }

    private void sendOrigin(HolderConnections.Connection connection, StreamOrigin origin) {
        connection.send(heartbeat(
                Optional.empty(),
                Optional.empty(),
                Optional.of(origin),
                Optional.empty(),
                Optional.empty(),
                Optional.empty()));
    }

    void broadcastCrashes(List<TargetCrash> crashes) {
        connections.forEach(connection -> sendCrashes(connection, crashes));
    }

    void broadcastCleared(Suspect.PromptPart part) {
        connections.forEach(connection -> connection.send(HolderMessage.TargetCrashes.cleared(part)));
    }

    void sendCrashes(HolderConnections.Connection connection, List<TargetCrash> crashes) {
        HolderMessage.TargetCrashes.of(crashes).forEach(connection::send);
    }

    private HolderMessage heartbeat(
            Optional<Map<String, Double>> limits,
            Optional<String> soughtStreamId,
            Optional<StreamOrigin> origin,
            Optional<List<TargetSpeeds.Summary>> speeds,
            Optional<List<HolderMessage.PeerState>> named,
            Optional<Integer> position) {
        return new HolderMessage.Heartbeat(
                nodeId,
                incarnation,
                holding.getAsBoolean(),
                nodeCount(),
                limits,
                soughtStreamId,
                origin,
                speeds,
                named,
                position);
    }
}
