package org.poplarwharf.internal.holder;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.poplarwharf.support.ScriptedTarget;

/** Requests without an id: a refusal without an id on a reused connection may be left over from an earlier request. */
@Timeout(30)
class NamelessRefusalGatewayTest {
    private static final List<Integer> PROMISING_STATUSES = List.of(408, 421, 429, 503);
    private static final int REQUEST_COUNT = 6;

    private final Set<Socket> usedConnections = ConcurrentHashMap.newKeySet();
    private final List<String> runs = new CopyOnWriteArrayList<>();
    private GatewayCluster cluster;
    private GatewayCluster.Node node;

    @BeforeEach
    void start() throws IOException {
        cluster = new GatewayCluster();
        node = cluster.startNode();
    }

    @AfterEach
    void stop() throws IOException {
        cluster.close();
    }

    @Test
    void refusal_without_an_id_on_a_reused_connection_is_not_believed_for_a_request_without_an_id() throws Exception {
        for (int i = 0; i < 2; i++) {
            ScriptedTarget target = cluster.addTarget("desk", "");
            target.script = (request, out) -> {
                if (!usedConnections.add(request.connection())) {
                    ScriptedTarget.write(
                            out, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                }
                runs.add(request.body());
                ScriptedTarget.write(out, "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nContent-Length: 5\r\n\r\nwhole");
            };
        }
        List<Integer> statuses = new ArrayList<>();
        for (int i = 0; i < REQUEST_COUNT; i++) {
            HttpRequest.Builder request = HttpRequest.newBuilder(
                            URI.create("http://127.0.0.1:" + node.frontPort() + "/once/x"))
                    .POST(HttpRequest.BodyPublishers.ofString("b" + i));
            statuses.add(cluster.send(request).statusCode());
        }

        assertThat(runs).as("%s%s", statuses, node.log()).hasSize(REQUEST_COUNT).doesNotHaveDuplicates();
        assertThat(statuses).as(node.log()).doesNotContainAnyElementsOf(PROMISING_STATUSES);
    }
}
