package org.poplarwharf.internal.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class PeerMeshTest extends PeerNodes {
    @Test
    void many_nodes_keep_few_links_each_form_one_graph_and_reach_the_others_on_demand() throws Exception {
        List<TcpPeers> nodes = new java.util.ArrayList<>();
        for (int i = 0; i < 24; i++) {
            nodes.add(node("n" + i));
        }
        List<String> addresses = nodes.stream().map(TcpPeers::announcedAddress).toList();
        on(() -> {
            nodes.forEach(node -> node.addSeeds(addresses));
            return null;
        });
        int mostLinks = nodes.size() * MESH_LINKS;
        await(() -> reached(nodes).size() == nodes.size() && linkEnds(nodes) > mostLinks);
        assertThat(on(() -> linkEnds(nodes))).isLessThanOrEqualTo(2 * mostLinks);

        TcpPeers asking = nodes.get(0);
        String far = on(() -> addresses.stream()
                .filter(address -> !address.equals(asking.announcedAddress()))
                .filter(address -> !asking.connected().contains(address))
                .findFirst()
                .orElseThrow());
        await(() -> asking.send(far, new PeerMessage.ConfigWanted()));

        await(() -> !asking.connected().contains(far));
        await(() -> reached(nodes).size() == nodes.size());
    }

    /** Two writes in a row and then a wait for an answer: where the system holds back small segments, each round takes 40 ms. */
    @Test
    void small_messages_in_a_row_are_not_held_back() throws Exception {
        TcpPeers a = node("a");
        TcpPeers b = node("b");
        Recorder heard = listen(a);
        on(() -> {
            b.listen(new Peers.Listener() {
                @Override
                public void received(String peerAddress, PeerMessage message) {
                    if (message instanceof PeerMessage.ConfigKnown known) {
                        b.send(peerAddress, known);
                    }
                }
            });
            a.add(b.announcedAddress());
            return null;
        });
        await(() -> a.connected().size() == 1);

        long startNanos = System.nanoTime();
        for (int i = 1; i <= 50; i++) {
            long round = i;
            on(() -> a.send(b.announcedAddress(), new PeerMessage.ConfigWanted())
                    && a.send(b.announcedAddress(), new PeerMessage.ConfigKnown(round, 0)));
            await(() -> heard.versions.contains(round));
        }
        assertThat((System.nanoTime() - startNanos) / 1_000_000).isLessThan(50 * 40 / 2);
    }

    private static int linkEnds(List<TcpPeers> nodes) {
        return nodes.stream().mapToInt(node -> node.connected().size()).sum();
    }

    /** Returns the nodes that a message passed on from link to link would reach from the first one. */
    private static java.util.Set<String> reached(List<TcpPeers> nodes) {
        java.util.Set<String> reached = new java.util.HashSet<>();
        java.util.ArrayDeque<String> open =
                new java.util.ArrayDeque<>(List.of(nodes.get(0).announcedAddress()));
        while (!open.isEmpty()) {
            String address = open.poll();
            if (reached.add(address)) {
                nodes.stream()
                        .filter(node -> node.announcedAddress().equals(address))
                        .forEach(node -> open.addAll(node.connected()));
            }
        }
        return reached;
    }
}
