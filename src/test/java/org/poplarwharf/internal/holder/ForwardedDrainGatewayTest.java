package org.poplarwharf.internal.holder;

import static org.assertj.core.api.Assertions.assertThat;
import static org.poplarwharf.support.Eventually.eventually;

import java.io.IOException;
import java.io.OutputStream;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.poplarwharf.support.CuttableLinks;
import org.poplarwharf.support.CuttableLinks.Cut;
import org.poplarwharf.support.ScriptedTarget;

/** Guards against streams that a draining node begins for another node, and cuts at its end. */
@Timeout(60)
class ForwardedDrainGatewayTest {
    private static final int TARGET_COUNT = 2;
    private static final int LONG_STREAM_MILLIS = 2_000;

    private final CuttableLinks links = new CuttableLinks();
    private GatewayCluster cluster;

    @BeforeEach
    void start() throws IOException {
        cluster = new GatewayCluster();
    }

    @AfterEach
    void stop() throws IOException {
        cluster.close();
        links.close();
    }

    private static void respond(ScriptedTarget.Request request, OutputStream out) throws IOException {
        if (request.line().contains("/safe/")) {
            ScriptedTarget.writeResponse(out, request, "200 OK", "whole");
            return;
        }
        ScriptedTarget.writeStreamHead(out, request);
        ScriptedTarget.writeEvent(out, 1);
        if (!request.closedByPeerWithin(LONG_STREAM_MILLIS)) {
            ScriptedTarget.write(out, "0\r\n\r\n");
        }
    }

    @Test
    void stream_of_a_node_that_reaches_no_target_is_not_begun_by_a_draining_node() throws Exception {
        GatewayCluster.Node sound = cluster.startNode();
        GatewayCluster.Node cutOff = cluster.startNode(links);
        for (int i = 0; i < TARGET_COUNT; i++) {
            cluster.addTarget("desk", "").script = ForwardedDrainGatewayTest::respond;
        }
        links.set(Cut.RESET);
        eventually(
                "requests are forwarded",
                () -> cluster.status(cutOff.frontPort(), "/safe/x") == 200
                        && cutOff.log().contains("targets-unreachable"));
        Thread drain = Thread.startVirtualThread(() -> sound.gateway().drainAndStop());
        eventually("the node drains", () -> sound.log().contains("node-draining"));

        HttpResponse<String> response = cluster.send(GatewayCluster.request(cutOff.frontPort(), "/stream/x")
                .setHeader("X-Request-Id", "stream")
                .POST(HttpRequest.BodyPublishers.noBody()));

        assertThat(response.statusCode()).as(cluster.logs()).isEqualTo(503);
        assertThat(sound.log()).contains("\"requestId\":\"stream\",\"code\":\"shutting-down\"");
        assertThat(cluster.targets)
                .allSatisfy(target -> assertThat(target.executedRequestIds).doesNotContain("stream"));
        drain.join();
    }
}
