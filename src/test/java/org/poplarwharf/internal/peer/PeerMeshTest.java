package org.poplarwharf.internal.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class PeerMeshTest extends PeerNetworkTestCase {
    @Test
    void many_nodes_keep_few_links_each_form_one_graph_and_reach_the_others_on_demand() throws Exception {
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
        int mostLinks = nodes.size() * MESH_LINKS;
        awaitUntil(() -> reached(nodes).size() == nodes.size() && linkEnds(nodes) > mostLinks);
        assertThat(callOnEventLoop(() -> linkEnds(nodes))).isLessThanOrEqualTo(2 * mostLinks);

        TcpPeerNetwork asking = nodes.get(0);
        String far = callOnEventLoop(() -> addresses.stream()
                .filter(address -> !address.equals(asking.advertisedAddress()))
                .filter(address -> !asking.connectedAddresses().contains(address))
                .findFirst()
                .orElseThrow());
        awaitUntil(() -> asking.send(far, new PeerMessage.ConfigRequest()));

        awaitUntil(() -> !asking.connectedAddresses().contains(far));
        awaitUntil(() -> reached(nodes).size() == nodes.size());
    }

    /** Two writes in a row and then a wait for an answer: where the system holds back small segments, each round takes 40 ms. */
    @Test
    void small_messages_in_a_row_are_not_held_back() throws Exception {
        TcpPeerNetwork a = node("a");
        TcpPeerNetwork b = node("b");
        RecordingListener heard = listen(a);
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
            awaitUntil(() -> heard.versions.contains(round));
        }
        assertThat((System.nanoTime() - startNanos) / 1_000_000).isLessThan(50 * 40 / 2);
    }

    private static int linkEnds(List<TcpPeerNetwork> nodes) {
        return nodes.stream().mapToInt(node -> node.connectedAddresses().size()).sum();
    }

    /** Returns the nodes that a message passed on from link to link would reach from the first one. */
    private static java.util.Set<String> reached(List<TcpPeerNetwork> nodes) {
        java.util.Set<String> reached = new java.util.HashSet<>();
        java.util.ArrayDeque<String> open =
                new java.util.ArrayDeque<>(List.of(nodes.get(0).advertisedAddress()));
        while (!open.isEmpty()) {
            String address = open.poll();
            if (reached.add(address)) {
                nodes.stream()
                        .filter(node -> node.advertisedAddress().equals(address))
                        .forEach(node -> open.addAll(node.connectedAddresses()));
            }
        }
        return reached;
    }
}
