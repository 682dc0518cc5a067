package org.poplarwharf.internal.holder;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.poplarwharf.support.ScriptedTarget;

/** Cuts off targets with resets while they run a request; their processes live on, under the same incarnation. */
@Timeout(60)
class CutOffTargetGatewayTest {
    private static final int TARGET_COUNT = 4;
    private static final int CUT_COUNT = 2;

    /** Longer than the gateway takes to find that the target refuses connections. */
    private static final long CUT_MILLIS = 400;

    /** Several reads of the targets' entries, which show that no target has crashed. */
    private static final long OBSERVATION_MILLIS = 2_000;

    private final AtomicInteger runCount = new AtomicInteger();
    private GatewayCluster cluster;

    @AfterEach
    void stop() throws IOException {
        cluster.close();
    }

    /** Guards against sound requests that are refused as crashing, since a path that is cut off refuses connections. */
    @Test
    @Tag("known-red")
    void request_is_not_refused_after_two_targets_that_ran_it_were_cut_off_with_resets() throws Exception {
        cluster = new GatewayCluster();
        cluster.startNode();
        for (int i = 0; i < TARGET_COUNT; i++) {
            ScriptedTarget target = cluster.addTarget("desk", ",'born':" + (1_000 + i));
            target.script = (request, out) -> {
                if (runCount.incrementAndGet() > CUT_COUNT) {
                    ScriptedTarget.writeResponse(out, request, "200 OK", "whole");
                    return;
                }
                target.crash();
                GatewayCluster.pause(CUT_MILLIS);
                target.restart();
            };
        }
        for (int i = 0; i < CUT_COUNT; i++) {
            assertThat(send().statusCode()).isEqualTo(502);
            GatewayCluster.pause(CUT_MILLIS);
        }
        GatewayCluster.pause(OBSERVATION_MILLIS);

        assertThat(send().body()).as(cluster::logs).isEqualTo("whole");
    }

    private HttpResponse<String> send() throws IOException, InterruptedException {
        return cluster.send(GatewayCluster.request(cluster.nodes.get(0).frontPort(), "/once/x")
                .POST(HttpRequest.BodyPublishers.ofString("sound")));
    }
}
