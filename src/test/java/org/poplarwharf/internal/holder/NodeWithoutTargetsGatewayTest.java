package org.poplarwharf.internal.holder;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.poplarwharf.support.CuttableLinks;
import org.poplarwharf.support.CuttableLinks.Cut;
import org.poplarwharf.support.ScriptedTarget;

/**
 * Nodes that reach no target, though their callers, the log and the other nodes reach them: their callers must be served
 * nearly as often at the first attempt as those of the other nodes.
 */
@Timeout(90)
class NodeWithoutTargetsGatewayTest {
    /** The time after a cut from which callers must be served. */
    private static final long SETTLING_MILLIS = 3_000;

    private static final long REQUEST_GAP_MILLIS = 60;
    private static final int TARGET_COUNT = 3;
    private static final double MIN_SERVED_RATIO = 2 / 3.0;
    private static final int MIN_REQUEST_COUNT = 24;
    private static final List<String> PATHS = List.of("/once/x", "/safe/x", "/stream/x", "/resume/x");

    private final CuttableLinks links = new CuttableLinks();
    private GatewayCluster cluster;
    private GatewayCluster.Node cutOff;
    private GatewayCluster.Node sound;
    private int requestCount;

    @BeforeEach
    void start() throws IOException {
        cluster = new GatewayCluster();
    }

    @AfterEach
    void stop() throws IOException {
        cluster.close();
        links.close();
    }

    private void addTargets() throws IOException {
        for (int i = 0; i < TARGET_COUNT; i++) {
            ScriptedTarget target = cluster.addTarget("desk", "");
            target.script = (received, out) -> {
                ScriptedTarget.Request request = closesConnection(received);
                if (request.line().contains("/stream/") || request.line().contains("/resume/")) {
                    ScriptedTarget.writeStreamHead(out, request);
                    ScriptedTarget.writeEvent(out, 1);
                    ScriptedTarget.write(out, "0\r\n\r\n");
                } else {
                    ScriptedTarget.writeResponse(out, request, "200 OK", "whole");
                }
            };
        }
    }

    /** Targets close some of their connections after a response, so that nodes need new ones. */
    private static ScriptedTarget.Request closesConnection(ScriptedTarget.Request request) {
        String headers = request.id().hashCode() % 3 == 0 ? "Connection: close\r\n" : "";
        return new ScriptedTarget.Request(
                request.line(), request.headers(), request.body(), request.connection(), headers);
    }

    /** Sends requests for some time, one after the other, and returns whether each was served at its first attempt. */
    private List<Boolean> send(GatewayCluster.Node node, long durationMillis) throws Exception {
        List<Boolean> served = new ArrayList<>();
        long endNanos = System.nanoTime() + durationMillis * 1_000_000;
        while (System.nanoTime() < endNanos || (durationMillis == 0 && served.size() < MIN_REQUEST_COUNT)) {
            served.add(isServed(node, PATHS.get(requestCount % PATHS.size())));
            GatewayCluster.pause(REQUEST_GAP_MILLIS);
        }
        return served;
    }

    private boolean isServed(GatewayCluster.Node node, String path) throws InterruptedException {
        requestCount++;
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + node.frontPort() + path))
                .header("X-Request-Id", "r" + requestCount)
                .header("X-Deadline-Ms", "1000");
        try {
            HttpResponse<String> response = cluster.send(
                    path.startsWith("/safe") ? request.GET() : request.POST(HttpRequest.BodyPublishers.ofString("b")));
            String body =
                    path.startsWith("/stream") || path.startsWith("/resume") ? ScriptedTarget.eventText(1) : "whole";
            return response.statusCode() == 200 && response.body().equals(body);
        } catch (IOException e) {
            return false;
        }
    }

    private static double servedRatio(List<Boolean> served) {
        return served.stream().filter(isServed -> isServed).count() / (double) served.size();
    }

    private void assertServedLikeSoundNodes() throws Exception {
        send(cutOff, SETTLING_MILLIS);
        List<Boolean> atCutOff = send(cutOff, 0);
        List<Boolean> atSound = send(sound, 0);

        assertThat(servedRatio(atCutOff))
                .as("served %s, at a sound node %s%s", atCutOff, atSound, cluster.logs())
                .isGreaterThanOrEqualTo(MIN_SERVED_RATIO * servedRatio(atSound));
        assertThat(servedRatio(atSound)).isEqualTo(1);
        for (ScriptedTarget target : cluster.targets) {
            assertThat(target.executedRequestIds).doesNotHaveDuplicates();
        }
    }

    @ParameterizedTest
    @EnumSource(names = "NONE", mode = EnumSource.Mode.EXCLUDE)
    void callers_of_a_node_that_reaches_no_target_are_served(Cut cut) throws Exception {
        sound = cluster.startNode();
        cutOff = cluster.startNode(links);
        addTargets();
        send(cutOff, 500);

        links.set(cut);

        assertServedLikeSoundNodes();
    }

    @ParameterizedTest
    @EnumSource(names = "NONE", mode = EnumSource.Mode.EXCLUDE)
    void callers_of_a_lease_holder_that_reaches_no_target_are_served(Cut cut) throws Exception {
        cutOff = cluster.startNode(links);
        sound = cluster.startNode();
        addTargets();
        send(cutOff, 500);

        links.set(cut);

        assertServedLikeSoundNodes();
    }
}
