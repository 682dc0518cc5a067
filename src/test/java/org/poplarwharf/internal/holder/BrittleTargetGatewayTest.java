package org.poplarwharf.internal.holder;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.poplarwharf.support.BrittleScript;
import org.poplarwharf.support.ScriptedTarget;

/**
 * Targets that state that they fail if they decline more than some requests in a second, and admit fewer after the stable
 * window, while callers of all nodes send more than they admit.
 */
@Timeout(120)
class BrittleTargetGatewayTest {
    private static final int NODE_COUNT = 6;
    private static final int TARGET_COUNT = 4;
    private static final int CALLER_COUNT = 36;
    private static final long STABLE_WINDOW_MILLIS = 3_000;
    private static final long BRITTLE_MILLIS = 10_000;
    private static final long RESTART_MILLIS = 2_500;
    private static final long MAX_WAIT_MILLIS = 300;
    private static final double MAX_FALLS = 2 + TARGET_COUNT / 10.0;
    /** A quarter of what all slots can serve. */
    private static final double MIN_SERVED_PER_SECOND = 40;

    private static final String MODELS = ",'models':[{'name':'m1','version':1,'adapters':[]}],'atHand':{}";
    private static final String REPORT =
            "{\"stage\":\"both\",\"models\":[{\"name\":\"m1\",\"version\":1,\"adapters\":[]}],"
                    + "\"busy\":false,\"seq\":0,\"waiting\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":100000,\"handles\":0}";

    private final AtomicInteger fallCount = new AtomicInteger();
    private final AtomicInteger sentCount = new AtomicInteger();
    private final AtomicInteger servedCount = new AtomicInteger();
    private final List<BrittleScript> scripts = new ArrayList<>();
    private double declinesPerSecond = 3;
    private GatewayCluster cluster;
    private Runnable thaw = () -> {};

    /** What happens to the lease holder before targets admit fewer requests. */
    private enum Fault {
        NONE,
        HOLDER_KILLED,
        HOLDER_SILENT,
        NODE_CUT_OFF_FROM_HOLDER
    }

    @AfterEach
    void stop() throws IOException {
        thaw.run();
        cluster.close();
    }

    private void start(Fault fault, String service, String fields) throws IOException {
        cluster = new GatewayCluster();
        int connectedCount = fault == Fault.NODE_CUT_OFF_FROM_HOLDER ? NODE_COUNT - 1 : NODE_COUNT;
        for (int i = 0; i < connectedCount; i++) {
            cluster.startNode();
        }
        if (connectedCount < NODE_COUNT) {
            cluster.startNodeWithoutHolder();
        }
        for (int i = 0; i < TARGET_COUNT; i++) {
            ScriptedTarget target = cluster.addTarget(service, fields + ",'born':1");
            int index = i;
            BrittleScript script = new BrittleScript((int) declinesPerSecond, () -> fall(index, service, fields));
            scripts.add(script);
            target.script = script;
            target.controlScript = (request, out) -> ScriptedTarget.writeResponse(out, request, "200 OK", REPORT);
        }
    }

    private void fall(int index, String service, String fields) {
        ScriptedTarget target = cluster.targets.get(index);
        int start = 1 + fallCount.incrementAndGet();
        Thread.startVirtualThread(() -> {
            try {
                target.crash();
                GatewayCluster.pause(RESTART_MILLIS);
                scripts.get(index).recover();
                target.restart();
                cluster.platform.put("servers", target.id, target.topicEntry(service, fields + ",'born':" + start));
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void brittle_plain_targets_rarely_fail_and_go_on_serving(Fault fault) throws Exception {
        start(fault, "desk", "");
        play(fault, "/safe/x");
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void brittle_engines_rarely_fail_and_go_on_serving(Fault fault) throws Exception {
        start(fault, "lm", MODELS);
        play(fault, "/lm/x");
    }

    @ParameterizedTest
    @EnumSource(names = {"NONE", "HOLDER_KILLED"})
    void brittle_targets_that_can_decline_none_with_fewer_slots_than_nodes_rarely_fail(Fault fault) throws Exception {
        declinesPerSecond = 0.5;
        start(fault, "desk", "");
        play(fault, "/safe/x");
    }

    @Test
    void request_is_refused_at_once_with_a_time_to_retry_while_the_share_of_all_brittle_targets_is_in_use()
            throws Exception {
        cluster = new GatewayCluster();
        cluster.startNode();
        cluster.startNode();
        ScriptedTarget target = cluster.addTarget("desk", "");
        target.brittleDeclinesPerSecond = OptionalDouble.of(0);
        GatewayCluster.pause(STABLE_WINDOW_MILLIS);
        int port = cluster.nodes.get(0).frontPort();
        assertThat(cluster.post(port, "/once/x").statusCode()).isEqualTo(200);
        target.script = (request, out) -> {
            Thread.sleep(800);
            ScriptedTarget.writeResponse(out, request, "200 OK", "whole");
        };
        for (int i = 0; i < 2; i++) {
            Thread.startVirtualThread(() -> cluster.status(port, "/once/x"));
        }
        GatewayCluster.pause(300);
        long startMillis = System.currentTimeMillis();
        HttpResponse<String> response = cluster.post(port, "/once/x");

        assertThat(System.currentTimeMillis() - startMillis).isLessThan(200);
        assertThat(response.statusCode()).isEqualTo(503);
        assertThat(Double.parseDouble(
                        response.headers().firstValue("Retry-After").orElseThrow()))
                .isBetween(0.01, 1.0);
        assertThat(cluster.logs()).contains("target-brittle");
    }

    private void play(Fault fault, String path) throws Exception {
        List<GatewayCluster.Node> nodes = new ArrayList<>(cluster.nodes);
        GatewayCluster.Node holder = nodes.stream()
                .filter(node -> node.log().contains("lease-claimed"))
                .findFirst()
                .orElseThrow();
        cluster.targets.forEach(target -> target.brittleDeclinesPerSecond = OptionalDouble.of(declinesPerSecond));
        long stableMillis = System.currentTimeMillis() + STABLE_WINDOW_MILLIS;
        long endMillis = stableMillis + BRITTLE_MILLIS;
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLER_COUNT; i++) {
            GatewayCluster.Node node = nodes.get(i % NODE_COUNT);
            callers.add(Thread.startVirtualThread(() -> call(node, path, stableMillis, endMillis)));
        }
        GatewayCluster.pause(stableMillis - System.currentTimeMillis());
        scripts.forEach(BrittleScript::becomeBrittle);
        GatewayCluster.pause(1_000);
        if (fault == Fault.HOLDER_KILLED) {
            cluster.kill(holder);
        } else if (fault == Fault.HOLDER_SILENT) {
            thaw = GatewayCluster.freeze(holder);
        }
        for (Thread caller : callers) {
            caller.join();
        }

        assertThat((double) fallCount.get())
                .as("falls of targets; %s served of %s", servedCount, sentCount)
                .isLessThanOrEqualTo(MAX_FALLS);
        assertThat(servedCount.get() * 1_000.0 / BRITTLE_MILLIS)
                .as("served in a second")
                .isGreaterThanOrEqualTo(MIN_SERVED_PER_SECOND);
    }

    private void call(GatewayCluster.Node node, String path, long countedFromMillis, long endMillis) {
        while (System.currentTimeMillis() < endMillis) {
            long waitMillis = 20;
            boolean counted = System.currentTimeMillis() >= countedFromMillis;
            boolean served = false;
            try {
                HttpResponse<String> response = cluster.send(GatewayCluster.request(node.frontPort(), path)
                        .header("X-Model", "m1")
                        .header("X-Token-Counts", "10,10")
                        .POST(HttpRequest.BodyPublishers.ofString("b" + System.nanoTime())));
                served = response.statusCode() == 200;
                waitMillis += response.headers().firstValue("Retry-After").stream()
                        .mapToLong(seconds -> (long) (Double.parseDouble(seconds) * 1_000))
                        .findFirst()
                        .orElse(0);
            } catch (IOException e) {
                waitMillis = MAX_WAIT_MILLIS;
            } catch (InterruptedException e) {
                return;
            }
            sentCount.addAndGet(counted ? 1 : 0);
            servedCount.addAndGet(counted && served ? 1 : 0);
            GatewayCluster.pause(Math.min(waitMillis, MAX_WAIT_MILLIS));
        }
    }
}
