package org.poplarwharf.internal.holder;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.poplarwharf.internal.dispatch.RequestNodes;
import org.poplarwharf.internal.holder.HolderMessage.PeerState;

/**
 * What the lease holder knows of the nodes that are connected to it and of itself: which of them reach targets.
 *
 * <p>Invariant: a node is never named to itself. Confined to the event loop.
 */
final class PeerDirectory {
    /** Enough for a second try, and few enough for the message to stay small. */
    private static final int MAX_NAMED_COUNT = 4;

    private final Map<HolderConnections.Connection, PeerState> stateByConnection = new LinkedHashMap<>();
    private final RequestNodes requestNodes = new RequestNodes();
    private final LongSupplier clock;
    private Optional<PeerState> own = Optional.empty();

    PeerDirectory(LongSupplier clock) {
        this.clock = clock;
    }

    /** Returns the nodes that requests come from: this one, and the others by the names of their connections. */
    RequestNodes requestNodes() {
        return requestNodes;
    }

    /** Adds a node, which may state nothing of itself if it runs an earlier release. */
    void add(HolderConnections.Connection connection) {
        requestNodes.add(connection.id());
    }

    void recordOwn(PeerState state) {
        own = Optional.of(state);
        requestNodes.recordState(RequestNodes.OWN, state.reachesTargets(), clock.getAsLong());
    }

    /** Records the state of a node, and returns whether it is new. */
    boolean record(HolderConnections.Connection connection, PeerState state) {
        requestNodes.recordState(connection.id(), state.reachesTargets(), clock.getAsLong());
        return !state.equals(stateByConnection.put(connection, state));
    }

    void remove(HolderConnections.Connection connection) {
        stateByConnection.remove(connection);
        requestNodes.remove(connection.id());
    }

    /** Returns some nodes that reach targets, for this node itself. */
    List<PeerState> namedToSelf() {
        return named(own, 0);
    }

    /** Returns some nodes that reach targets; others for each node, so that none has to serve all those that reach none. */
    List<PeerState> namedTo(HolderConnections.Connection connection) {
        int position = List.copyOf(stateByConnection.keySet()).indexOf(connection);
        return named(Optional.ofNullable(stateByConnection.get(connection)), position + 1);
    }

    /** Returns the position of this node among the ids of all nodes in order. */
    Optional<Integer> positionOfSelf() {
        return own.map(this::position);
    }

    /** Returns the position of a connected node among the ids of all nodes in order. */
    Optional<Integer> positionOf(HolderConnections.Connection connection) {
        return Optional.ofNullable(stateByConnection.get(connection)).map(this::position);
    }

    private int position(PeerState state) {
        return (int) Stream.concat(own.stream(), stateByConnection.values().stream())
                .map(PeerState::nodeId)
                .distinct()
                .filter(id -> id.compareTo(state.nodeId()) < 0)
                .count();
    }

    private List<PeerState> named(Optional<PeerState> receiver, int position) {
        List<PeerState> able = Stream.concat(own.stream(), stateByConnection.values().stream())
                .filter(PeerState::reachesTargets)
                .filter(state -> receiver.isEmpty() || !receiver.get().nodeId().equals(state.nodeId()))
                .toList();
        if (able.isEmpty()) {
            return able;
        }
        int first = position * MAX_NAMED_COUNT % able.size();
        return Stream.concat(able.stream().skip(first), able.stream().limit(first))
                .limit(MAX_NAMED_COUNT)
                .toList();
    }
}
