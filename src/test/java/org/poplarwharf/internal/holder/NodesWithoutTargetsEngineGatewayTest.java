package org.poplarwharf.internal.holder;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.poplarwharf.support.CuttableLinks;
import org.poplarwharf.support.CuttableLinks.Cut;
import org.poplarwharf.support.Eventually;
import org.poplarwharf.support.ScriptedTarget;

/** Nodes that reach no target must not keep the others from the targets of a service with engines. */
@Timeout(90)
class NodesWithoutTargetsEngineGatewayTest {
    private static final int TARGET_COUNT = 3;
    private static final long CUT_MILLIS = 5_000;
    private static final long REQUEST_GAP_MILLIS = 60;
    private static final long MAX_MILLIS_TO_ORDER = 10_000;
    private static final String HELD = "'models':[{'name':'m1','version':1,'adapters':[]}]";

    private final CuttableLinks links = new CuttableLinks();
    private final AtomicInteger requestCount = new AtomicInteger();
    private final ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor();
    private GatewayCluster cluster;

    @BeforeEach
    void start() throws IOException {
        cluster = new GatewayCluster();
    }

    @AfterEach
    void stop() throws IOException {
        callers.shutdownNow();
        cluster.close();
        links.close();
    }

    private void addTargetsWithModel() throws IOException {
        for (int i = 0; i < TARGET_COUNT; i++) {
            ScriptedTarget target = cluster.addTarget("lm", "," + HELD + ",'atHand':{'inMemory':[],'onDisk':['m1']}");
            String report = "{'seq':0,'busy':false," + HELD + "}";
            target.controlScript =
                    (request, out) -> ScriptedTarget.writeResponse(out, request, "200 OK", report.replace('\'', '"'));
            target.script = (received, out) -> {
                // Half of the connections end with a response, so that nodes need new ones.
                String headers = received.id().hashCode() % 2 == 0 ? "Connection: close\r\n" : "";
                ScriptedTarget.Request request = new ScriptedTarget.Request(
                        received.line(), received.headers(), received.body(), received.connection(), headers);
                ScriptedTarget.writeStreamHead(out, request);
                ScriptedTarget.writeEvent(out, 1);
                ScriptedTarget.write(out, "0\r\n\r\n");
            };
        }
    }

    private String send(GatewayCluster.Node node) throws InterruptedException {
        HttpRequest.Builder request = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + node.frontPort() + "/lm/x"))
                .header("X-Request-Id", "r" + requestCount.incrementAndGet())
                .header("X-Model", "m1")
                .header("X-Token-Counts", "10,10")
                .header("X-Deadline-Ms", "1000")
                .POST(HttpRequest.BodyPublishers.ofString("prompt"));
        try {
            String body = cluster.send(request).body();
            return body.equals(ScriptedTarget.eventText(1)) ? "served" : body;
        } catch (IOException e) {
            return e.toString();
        }
    }

    /** Sends requests one after the other until the given time, and returns what callers got. */
    private Future<List<String>> sendUntil(long endNanos, GatewayCluster.Node node) {
        return callers.submit(() -> {
            List<String> results = new ArrayList<>();
            while (System.nanoTime() < endNanos) {
                results.add(send(node));
                GatewayCluster.pause(REQUEST_GAP_MILLIS);
            }
            return results;
        });
    }

    /** Guards against failures on the paths of some nodes that keep all nodes from sound targets. */
    @ParameterizedTest
    @EnumSource(names = "NONE", mode = EnumSource.Mode.EXCLUDE)
    void callers_of_sound_nodes_are_served_throughout_while_half_of_the_nodes_reach_no_target(Cut cut)
            throws Exception {
        List<GatewayCluster.Node> sound = List.of(cluster.startNode(), cluster.startNode());
        List<GatewayCluster.Node> cutOff = List.of(cluster.startNode(links), cluster.startNode(links));
        addTargetsWithModel();
        long endNanos = System.nanoTime() + CUT_MILLIS * 1_000_000;
        cutOff.forEach(node -> sendUntil(endNanos, node));
        List<Future<List<String>>> atSound =
                sound.stream().map(node -> sendUntil(endNanos, node)).toList();
        GatewayCluster.pause(500);

        links.set(cut);

        for (Future<List<String>> results : atSound) {
            assertThat(results.get()).as("%s", cluster.logs()).containsOnly("served");
        }
        for (ScriptedTarget target : cluster.targets) {
            assertThat(target.executedRequestIds).doesNotHaveDuplicates();
        }
    }

    /** Guards against a holder that keeps the lease though it can neither order loads nor read reports. */
    @ParameterizedTest
    @EnumSource(names = "NONE", mode = EnumSource.Mode.EXCLUDE)
    void model_is_loaded_by_another_node_while_the_lease_holder_reaches_no_target(Cut cut) throws Exception {
        GatewayCluster.Node holder = cluster.startNode(links);
        Eventually.eventually(
                "the first node holds the lease", () -> holder.log().contains("lease-claimed"));
        GatewayCluster.Node sound = cluster.startNode();
        for (int i = 0; i < TARGET_COUNT; i++) {
            cluster.addTarget("lm", ",'models':[],'atHand':{'inMemory':[],'onDisk':['m1']}");
        }
        long cutNanos = System.nanoTime();
        links.set(cut);
        long endNanos = cutNanos + MAX_MILLIS_TO_ORDER * 1_000_000;
        sendUntil(endNanos, holder);
        sendUntil(endNanos, sound);
        while (orders().isEmpty() && System.nanoTime() < endNanos) {
            GatewayCluster.pause(20);
        }
        long millisToOrder = (System.nanoTime() - cutNanos) / 1_000_000;

        assertThat(orders())
                .as("%s", cluster.logs())
                .isNotEmpty()
                .allMatch(order -> order.contains("\"holder\":\"n2\""));
        assertThat(millisToOrder).isBetween(sound.settings().orderGapMillis(), MAX_MILLIS_TO_ORDER);
    }

    /** Guards against a change of the holder, which delays orders, when targets crash instead of paths. */
    @Test
    void lease_holder_keeps_the_lease_when_all_targets_but_one_crash_at_once() throws Exception {
        GatewayCluster.Node holder = cluster.startNode();
        Eventually.eventually(
                "the first node holds the lease", () -> holder.log().contains("lease-claimed"));
        GatewayCluster.Node other = cluster.startNode();
        addTargetsWithModel();
        long endNanos = System.nanoTime() + CUT_MILLIS * 1_000_000;
        Future<List<String>> atHolder = sendUntil(endNanos, holder);
        sendUntil(endNanos, other);
        GatewayCluster.pause(500);

        for (ScriptedTarget target : cluster.targets.subList(1, TARGET_COUNT)) {
            target.crash();
        }

        assertThat(atHolder.get()).contains("served");
        assertThat(holder.log()).doesNotContain("lease-lost");
    }

    private List<String> orders() {
        return cluster.targets.stream()
                .flatMap(target -> target.receivedOrders.stream())
                .toList();
    }
}
