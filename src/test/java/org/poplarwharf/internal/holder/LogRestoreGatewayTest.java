package org.poplarwharf.internal.holder;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.poplarwharf.support.Eventually;
import org.poplarwharf.support.FakePlatformLog;
import org.poplarwharf.support.ScriptedTarget;

/** Restores the platform's log from a copy that lacks the latest records, under running gateways. */
@Timeout(60)
class LogRestoreGatewayTest {
    private static final String ROUTE = "{'name':'added','host':'127.0.0.1','pathPrefix':'/added/','kind':'safe',"
            + "'timeoutMs':2000,'targetLatencyMs':100,'priority':0,'service':'desk','maxAttempts':2}";
    private static final int LOST_RECORD_COUNT = 6;

    /** Two reads of the plan, which the log holds back for 400 ms. */
    private static final long PLAN_UPDATE_MILLIS = 1_000;

    private static final String CRASH_TOPIC = "keyed.poplarwharf-crashes";
    private static final String CRASHING_BODY = "crashes its target";

    private GatewayCluster cluster;

    @BeforeEach
    void start() throws Exception {
        cluster = new GatewayCluster();
        cluster.startNode();
        cluster.startNode();
    }

    @AfterEach
    void stop() throws Exception {
        cluster.close();
    }

    private static String plan(int version) {
        return "{'version':" + version + ",'routes':[" + ROUTE
                + "],'services':[{'name':'desk','healthPath':'/health'}]}";
    }

    private int addedRouteStatus(int node) {
        return cluster.status(cluster.nodes.get(node).frontPort(), "/added/x");
    }

    @Test
    void plan_that_is_written_below_the_lost_offsets_is_in_force_in_time() throws Exception {
        cluster.addTarget("desk", ",'born':1");
        FakePlatformLog.Copy copy = cluster.platform.copy();
        for (int i = 0; i < LOST_RECORD_COUNT; i++) {
            cluster.platform.put("op", "note" + i, "{}");
        }
        GatewayCluster.pause(PLAN_UPDATE_MILLIS);
        cluster.platform.restore(copy);
        cluster.platform.put("op", "config", plan(2));
        GatewayCluster.pause(PLAN_UPDATE_MILLIS);

        assertThat(addedRouteStatus(0)).isEqualTo(200);
        assertThat(addedRouteStatus(1)).isEqualTo(200);
    }

    @Test
    void plan_and_targets_stay_in_force_while_their_records_are_written_again() throws Exception {
        FakePlatformLog.Copy copy = cluster.platform.copy();
        ScriptedTarget target = cluster.addTarget("desk", ",'born':1");
        cluster.platform.put("op", "config", plan(2));
        cluster.platform.put(
                "servers", target.id, target.topicEntry("desk", ",'born':1").replace("'seq':1", "'seq':5"));
        Eventually.eventually("the route is added", () -> addedRouteStatus(0) == 200 && addedRouteStatus(1) == 200);
        cluster.platform.restore(copy);
        for (int i = 0; i < 10; i++) {
            GatewayCluster.pause(100);
            assertThat(addedRouteStatus(i % 2)).isEqualTo(200);
        }
        cluster.platform.rewriteLostRecords();
        GatewayCluster.pause(2 * PLAN_UPDATE_MILLIS);

        assertThat(addedRouteStatus(0)).isEqualTo(200);
        assertThat(cluster.nodes.get(0).log()).doesNotContain("target-restarted", "target-gone");
        assertThat(cluster.nodes.get(0).log()).contains("\"event\":\"log-restored\"");
    }

    @Test
    void target_whose_entry_does_not_return_after_a_restore_is_gone() throws Exception {
        FakePlatformLog.Copy copy = cluster.platform.copy();
        cluster.addTarget("desk", ",'born':1");
        cluster.platform.restore(copy);

        Eventually.eventually(
                "the target is removed", () -> cluster.nodes.get(0).log().contains("target-gone"));
    }

    @Test
    @Tag("known-red")
    void request_that_crashed_two_targets_is_still_refused_by_nodes_that_start_after_a_restore() throws Exception {
        FakePlatformLog.Copy copy = cluster.platform.copy();
        for (int i = 0; i < 2; i++) {
            ScriptedTarget target = cluster.addTarget("desk", ",'born':1");
            target.script = (request, out) -> {
                if (request.body().equals(CRASHING_BODY)) {
                    target.crash();
                } else {
                    ScriptedTarget.writeResponse(out, request, "200 OK", "whole");
                }
            };
        }
        post(0);
        post(1);
        Eventually.eventually(
                "both crashes are recorded",
                () -> cluster.platform.copy().recordCounts().getOrDefault(CRASH_TOPIC, 0) == 2);
        cluster.platform.restore(copy);
        cluster.platform.rewriteLostRecords();
        GatewayCluster.pause(PLAN_UPDATE_MILLIS);
        cluster.nodes.forEach(node -> node.gateway().drainAndStop());
        cluster.nodes.clear();
        GatewayCluster.Node late = cluster.startNode();
        Eventually.eventually("the node is ready", () -> cluster.status(late.readyPort(), "/ready") == 200);
        GatewayCluster.pause(PLAN_UPDATE_MILLIS);

        assertThat(post(0).body()).contains("crash-suspected");
    }

    private HttpResponse<String> post(int node) {
        try {
            return cluster.send(GatewayCluster.request(cluster.nodes.get(node).frontPort(), "/once/x")
                    .POST(HttpRequest.BodyPublishers.ofString(CRASHING_BODY)));
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
