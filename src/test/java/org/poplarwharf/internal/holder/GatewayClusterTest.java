package org.poplarwharf.internal.holder;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against nodes of an earlier test that send requests to the targets and logs of a later one. */
@Timeout(30)
class GatewayClusterTest {
    /** Longer than a node pauses between two reads of a log that it can't reach. */
    private static final int MAX_PAUSE_MILLIS = 2_000;

    private static final int KILL_COUNT = 50;

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.indexOf(':') + 1));
    }

    /** Listens where the log of a closed cluster did, and returns the first lines of all requests. */
    private static List<String> receivedAt(int port) throws IOException {
        List<String> requestLines = new ArrayList<>();
        try (ServerSocket server = new ServerSocket()) {
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            long endMillis = System.currentTimeMillis() + MAX_PAUSE_MILLIS;
            for (long left = MAX_PAUSE_MILLIS; left > 0; left = endMillis - System.currentTimeMillis()) {
                server.setSoTimeout((int) left);
                try (Socket connection = server.accept()) {
                    requestLines.add(new BufferedReader(
                                    new InputStreamReader(connection.getInputStream(), StandardCharsets.UTF_8))
                            .readLine());
                }
            }
        } catch (SocketTimeoutException e) {
            return requestLines;
        }
        return requestLines;
    }

    @Test
    void nodes_of_a_closed_cluster_send_nothing() throws Exception {
        GatewayCluster cluster = new GatewayCluster();
        try (cluster) {
            cluster.startNode();
            cluster.addTarget("desk", "");
        }

        assertThat(receivedAt(port(cluster.platform.address()))).isEmpty();
    }

    @Test
    void nodes_that_a_test_has_stopped_itself_send_nothing_after_their_cluster_is_closed() throws Exception {
        GatewayCluster cluster = new GatewayCluster();
        try (cluster) {
            cluster.startNode();
            cluster.addTarget("desk", "");
            cluster.nodes.remove(0).gateway().drainAndStop();
        }

        assertThat(receivedAt(port(cluster.platform.address()))).isEmpty();
    }

    @Test
    void killed_nodes_refuse_connections() throws Exception {
        try (GatewayCluster cluster = new GatewayCluster()) {
            for (int i = 0; i < KILL_COUNT; i++) {
                GatewayCluster.Node node = cluster.startNode();
                cluster.killNodes();

                assertThatThrownBy(() -> connect(node.settings().peerAddress())).isInstanceOf(ConnectException.class);
            }
        }
    }

    private static void connect(InetSocketAddress address) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(address);
        }
    }
}
