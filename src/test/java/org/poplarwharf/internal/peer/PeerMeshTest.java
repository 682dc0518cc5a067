package org.poplarwharf.internal.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class PeerMeshTest extends PeerNetworkTestCase {
    @Test
    void many_nodes_with_few_connections_each_form_a_connected_graph_and_reach_other_nodes_on_demand()
            throws Exception {
        List<TcpPeerNetwork> nodes = new java.util.ArrayList<>();
        for (int i = 0; i < 24; i++) {
            nodes.add(node("n" + i));
        }
        List<String> addresses =
                nodes.stream().map(TcpPeerNetwork::advertisedAddress).toList();
        callOnEventLoop(() -> {
            nodes.forEach(node -> node.addSeeds(addresses));
            return null;
        });
        int maxMeshConnections = nodes.size() * MESH_CONNECTION_COUNT;
        awaitUntil(() ->
                reachableAddresses(nodes).size() == nodes.size() && connectionEndCount(nodes) > maxMeshConnections);
        assertThat(callOnEventLoop(() -> connectionEndCount(nodes))).isLessThanOrEqualTo(2 * maxMeshConnections);

        TcpPeerNetwork sender = nodes.get(0);
        String unconnected = callOnEventLoop(() -> addresses.stream()
                .filter(address -> !address.equals(sender.advertisedAddress()))
                .filter(address -> !sender.connectedAddresses().contains(address))
                .findFirst()
                .orElseThrow());
        awaitUntil(() -> sender.send(unconnected, new PeerMessage.ConfigRequest()));

        awaitUntil(() -> !sender.connectedAddresses().contains(unconnected));
        awaitUntil(() -> reachableAddresses(nodes).size() == nodes.size());
    }

    /**
     * Guards against delayed small writes (Nagle's algorithm). Two writes in a row followed by a wait for the response
     * take 40 ms per round if the operating system holds back small segments.
     */
    @Test
    void consecutive_small_messages_are_not_delayed() throws Exception {
        TcpPeerNetwork a = node("a");
        TcpPeerNetwork b = node("b");
        RecordingListener recorder = listen(a);
        callOnEventLoop(() -> {
            b.addListener(new PeerNetwork.Listener() {
                @Override
                public void onMessage(String peerAddress, PeerMessage message) {
                    if (message instanceof PeerMessage.ConfigVersion known) {
                        b.send(peerAddress, known);
                    }
                }
            });
            a.add(b.advertisedAddress());
            return null;
        });
        awaitUntil(() -> a.connectedAddresses().size() == 1);

        long startNanos = System.nanoTime();
        for (int i = 1; i <= 50; i++) {
            long round = i;
            callOnEventLoop(() -> a.send(b.advertisedAddress(), new PeerMessage.ConfigRequest())
                    && a.send(b.advertisedAddress(), new PeerMessage.ConfigVersion(round, 0)));
            awaitUntil(() -> recorder.versions.contains(round));
        }
        assertThat((System.nanoTime() - startNanos) / 1_000_000).isLessThan(50 * 40 / 2);
    }

    private static int connectionEndCount(List<TcpPeerNetwork> nodes) {
        return nodes.stream().mapToInt(node -> node.connectedAddresses().size()).sum();
    }

    /** Returns the addresses of the nodes that are reachable from the first one over any number of connections. */
    private static java.util.Set<String> reachableAddresses(List<TcpPeerNetwork> nodes) {
        java.util.Set<String> reachableAddresses = new java.util.HashSet<>();
        java.util.ArrayDeque<String> pending =
                new java.util.ArrayDeque<>(List.of(nodes.get(0).advertisedAddress()));
        while (!pending.isEmpty()) {
            String address = pending.poll();
            if (reachableAddresses.add(address)) {
                nodes.stream()
                        .filter(node -> node.advertisedAddress().equals(address))
                        .forEach(node -> pending.addAll(node.connectedAddresses()));
            }
        }
        return reachableAddresses;
    }
}
