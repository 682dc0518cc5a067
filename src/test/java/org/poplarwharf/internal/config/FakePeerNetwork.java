package org.poplarwharf.internal.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.poplarwharf.internal.peer.PeerMessage;
import org.poplarwharf.internal.peer.PeerNetwork;

/** Links all nodes of a test; a node's address is its id. Belongs to one thread. */
final class FakePeerNetwork {
    private final Map<String, Node> nodes = new LinkedHashMap<>();

    /** Whether messages and links are withheld. */
    boolean cut;

    private final class Node implements PeerNetwork {
        private final String id;
        private final List<Listener> listeners = new ArrayList<>();

        private Node(String id) {
            this.id = id;
        }

        @Override
        public boolean send(String peerAddress, PeerMessage message) {
            if (cut) {
                return false;
            }
            List.copyOf(nodes.get(peerAddress).listeners).forEach(listener -> listener.onMessage(id, message));
            return true;
        }

        @Override
        public List<String> connectedAddresses() {
            return cut
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
        context.offer(PeerNetwork.class, node);
    }

    /** Tells a node and all others that their links are up. */
    void announce(String id) {
        Node node = nodes.get(id);
        for (String other : node.connectedAddresses()) {
            link(nodes.get(other), id);
            link(node, other);
        }
    }

    /** Ends the cut. */
    void join() {
        cut = false;
        List.copyOf(nodes.keySet()).forEach(this::announce);
    }

    void deliverTo(String id, PeerMessage message) {
        List.copyOf(nodes.get(id).listeners).forEach(listener -> listener.onMessage("stale", message));
    }

    private static void link(Node node, String other) {
        node.listeners.forEach(listener -> listener.onConnected(other, new PeerMessage.Hello(other, 1, "a", other)));
    }
}
