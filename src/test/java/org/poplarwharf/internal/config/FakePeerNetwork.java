package org.poplarwharf.internal.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.poplarwharf.internal.peer.PeerMessage;
import org.poplarwharf.internal.peer.PeerNetwork;

/** Connects all nodes of a test; the address of a node is its id. Not thread-safe. */
final class FakePeerNetwork {
    private final Map<String, Node> nodes = new LinkedHashMap<>();

    /** Whether messages and connections are blocked. */
    boolean isDisconnected;

    private final class Node implements PeerNetwork {
        private final String id;
        private final List<Listener> listeners = new ArrayList<>();

        private Node(String id) {
            this.id = id;
        }

        @Override
        public boolean send(String peerAddress, PeerMessage message) {
            if (isDisconnected) {
                return false;
            }
            List.copyOf(nodes.get(peerAddress).listeners).forEach(listener -> listener.onMessage(id, message));
            return true;
        }

        @Override
        public List<String> connectedAddresses() {
            return isDisconnected
                    ? List.of()
                    : nodes.keySet().stream().filter(other -> !other.equals(id)).toList();
        }

        @Override
        public void addListener(Listener listener) {
            listeners.add(listener);
        }
    }

    void add(String id, FakeContext context) {
        Node node = new Node(id);
        nodes.put(id, node);
        context.registerService(PeerNetwork.class, node);
    }

    /** Notifies a node and all others that they are connected. */
    void announceConnections(String id) {
        Node node = nodes.get(id);
        for (String other : node.connectedAddresses()) {
            notifyLinkUp(nodes.get(other), id);
            notifyLinkUp(node, other);
        }
    }

    /** Restores all connections. */
    void reconnect() {
        isDisconnected = false;
        List.copyOf(nodes.keySet()).forEach(this::announceConnections);
    }

    void deliverTo(String id, PeerMessage message) {
        List.copyOf(nodes.get(id).listeners).forEach(listener -> listener.onMessage("stale", message));
    }

    private static void notifyLinkUp(Node node, String other) {
        node.listeners.forEach(listener -> listener.onConnected(other, new PeerMessage.Hello(other, 1, "a", other)));
    }
}
