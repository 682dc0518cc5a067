package org.poplarwharf.internal.holder;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.poplarwharf.support.CuttableLinks;
import org.poplarwharf.support.Eventually;
import org.poplarwharf.support.ScriptedTarget;

/**
 * Requests that a node without targets sends to another node: what the caller is told must hold for both nodes, and a request
 * that may run once runs once at most.
 */
@Timeout(60)
class ForwardedRefusalGatewayTest {
    private static final List<Integer> PROMISING_STATUSES = List.of(408, 421, 429, 503);
    private static final int TARGET_COUNT = 2;

    private final CuttableLinks links = new CuttableLinks();
    private final CuttableLinks soundLinks = new CuttableLinks();
    private final List<String> runs = new CopyOnWriteArrayList<>();
    private GatewayCluster cluster;
    private GatewayCluster.Node cutOff;
    private GatewayCluster.Node sound;

    @BeforeEach
    void start() throws IOException {
        cluster = new GatewayCluster();
        cutOff = cluster.startNode(links);
        sound = cluster.startNode(soundLinks);
    }

    @AfterEach
    void stop() throws IOException {
        cluster.close();
        links.close();
        soundLinks.close();
    }

    private void cutOffFrom(ScriptedTarget.Script script) throws Exception {
        for (int i = 0; i < TARGET_COUNT; i++) {
            ScriptedTarget target = cluster.addTarget("desk", "");
            target.script = (request, out) -> {
                if (request.line().contains("/safe/")) {
                    ScriptedTarget.writeResponse(out, request, "200 OK", "whole");
                } else {
                    script.respond(request, out);
                }
            };
        }
        links.set(CuttableLinks.Cut.RESET);
        Eventually.eventually(
                "requests are forwarded",
                () -> cluster.status(cutOff.frontPort(), "/safe/x") == 200
                        && cutOff.log().contains("targets-unreachable"));
    }

    private HttpResponse<String> post(String id, String path) throws Exception {
        return cluster.send(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + cutOff.frontPort() + path))
                .header("X-Request-Id", id)
                .header("X-Not-Executed", "1")
                .header("Poplarwharf-Try-Other-Node", "1")
                .POST(HttpRequest.BodyPublishers.ofString("body")));
    }

    private CompletableFuture<Integer> postLater(String id, String path) {
        return CompletableFuture.supplyAsync(() -> {
            try {
                return post(id, path).statusCode();
            } catch (Exception e) {
                return -1;
            }
        });
    }

    private void assertKept(Integer status) {
        assertThat(runs).as(cluster.logs()).doesNotHaveDuplicates();
        assertThat(PROMISING_STATUSES.contains(status) && !runs.isEmpty())
                .as("the caller got %d, runs %s%s", status, runs, cluster.logs())
                .isFalse();
    }

    @ParameterizedTest
    @ValueSource(strings = {"503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout"})
    void request_that_ran_is_not_refused_over_the_hop(String status) throws Exception {
        cutOffFrom((request, out) -> {
            runs.add(request.id());
            ScriptedTarget.write(
                    out,
                    "HTTP/1.1 " + status + "\r\nX-Request-Id: " + request.id()
                            + "\r\nX-Response-Seal: s\r\nPoplarwharf-Try-Other-Node: 1\r\nContent-Length: 0\r\n\r\n");
        });

        assertKept(post("r1", "/once/x").statusCode());
        assertThat(runs).containsExactly("r1");
    }

    @Test
    void refusals_of_all_targets_are_passed_on_as_one_refusal_without_marks() throws Exception {
        List<String> declined = new CopyOnWriteArrayList<>();
        cutOffFrom((request, out) -> {
            declined.add(request.id());
            ScriptedTarget.writeNotExecuted(out, request, "503 Service Unavailable");
        });

        HttpResponse<String> response = post("r1", "/once/x");

        assertThat(response.statusCode()).as(cluster.logs()).isEqualTo(503);
        assertThat(response.headers().firstValue("Retry-After")).isPresent();
        assertThat(response.headers().map().keySet()).doesNotContain("x-not-executed", "poplarwharf-try-other-node");
        assertThat(declined).hasSizeLessThanOrEqualTo(TARGET_COUNT);
    }

    @ParameterizedTest
    @ValueSource(strings = {"kill", "drain", "freeze", "cut"})
    void request_that_runs_is_not_refused_when_the_second_node_fails(String fault) throws Exception {
        CountDownLatch running = new CountDownLatch(1);
        cutOffFrom((request, out) -> {
            runs.add(request.id());
            running.countDown();
            Thread.sleep(3_000);
            ScriptedTarget.writeResponse(out, request, "200 OK", "whole");
        });
        CompletableFuture<Integer> status = postLater("r1", "/once/x");
        assertThat(running.await(5, TimeUnit.SECONDS)).isTrue();

        Runnable end = () -> {};
        switch (fault) {
            case "kill" -> cluster.kill(sound);
            case "drain" -> CompletableFuture.runAsync(() -> sound.gateway().drainAndStop());
            case "freeze" -> end = GatewayCluster.freeze(sound);
            case "cut" -> soundLinks.set(CuttableLinks.Cut.RESET);
            default -> throw new IllegalArgumentException(fault);
        }
        Integer callerStatus = status.get(10, TimeUnit.SECONDS);
        end.run();
        GatewayCluster.pause(500);

        assertKept(callerStatus);
        assertThat(runs).as(cluster.logs()).containsExactly("r1");
    }

    /** A request that may be repeated is sent to a third node; the promise of that one must not cover the run at the second. */
    @Test
    void refusal_of_a_third_node_is_not_passed_on_for_a_request_that_the_second_may_have_run() throws Exception {
        GatewayCluster.Node third = cluster.startNode();
        CountDownLatch running = new CountDownLatch(1);
        cutOffFrom((request, out) -> {
            if (runs.isEmpty()) {
                runs.add(request.id());
                running.countDown();
                Thread.sleep(3_000);
                return;
            }
            ScriptedTarget.writeNotExecuted(out, request, "503 Service Unavailable");
        });
        CompletableFuture<Integer> status = postLater("r1", "/resume/x");
        assertThat(running.await(5, TimeUnit.SECONDS)).isTrue();

        cluster.kill(nodeThatLogs("r1", sound, third));

        assertKept(status.get(10, TimeUnit.SECONDS));
        assertThat(runs).as(cluster.logs()).containsExactly("r1");
    }

    /** Returns the node that has a line about a request. Lines are written later than what they tell. */
    private GatewayCluster.Node nodeThatLogs(String requestId, GatewayCluster.Node... nodes) {
        Supplier<Optional<GatewayCluster.Node>> found = () -> Stream.of(nodes)
                .filter(node -> node.log().contains("\"" + requestId + "\""))
                .findFirst();
        Eventually.eventually(requestId + " is logged", () -> found.get().isPresent());
        return found.get().orElseThrow();
    }

    @Test
    void request_that_a_frozen_node_sends_on_waking_was_not_refused() throws Exception {
        cutOffFrom((request, out) -> {
            runs.add(request.id());
            ScriptedTarget.writeResponse(out, request, "200 OK", "whole");
        });
        Runnable end = GatewayCluster.freeze(sound);
        Integer status = post("r1", "/once/x").statusCode();
        end.run();
        GatewayCluster.pause(1_000);

        assertKept(status);
    }

    @Test
    void requests_of_two_nodes_without_targets_do_not_loop() throws Exception {
        cutOffFrom((request, out) -> {
            runs.add(request.id());
            ScriptedTarget.writeResponse(out, request, "200 OK", "whole");
        });
        soundLinks.set(CuttableLinks.Cut.RESET);
        Eventually.eventually(
                "the second node has no connection to a target left",
                () -> cluster.status(sound.frontPort(), "/safe/x") != 200
                        && sound.log().contains("targets-unreachable"));
        List<Integer> statuses = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            statuses.add(post("r" + i, "/once/x").statusCode());
        }

        assertThat(runs).as("%s%s", statuses, cluster.logs()).isEmpty();
        assertThat(statuses).as(cluster.logs()).containsOnly(503);
        assertThat(sound.log().split("\"r5\"", -1).length).as(cluster.logs()).isLessThan(8);
    }

    @ParameterizedTest
    @ValueSource(strings = {"503 Service Unavailable", "421 Misdirected Request"})
    void refusal_left_over_on_a_connection_of_the_second_node_is_not_believed(String status) throws Exception {
        Set<Socket> used = ConcurrentHashMap.newKeySet();
        cutOffFrom((request, out) -> {
            if (!used.add(request.connection())) {
                ScriptedTarget.write(out, "HTTP/1.1 " + status + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            }
            runs.add(request.id());
            ScriptedTarget.writeResponse(out, request, "200 OK", "whole");
        });
        for (int i = 0; i < 8; i++) {
            String id = "r" + i;
            int callerStatus = post(id, "/once/x").statusCode();
            assertThat(runs).as(cluster.logs()).contains(id);
            assertKept(callerStatus);
        }
    }

    @Test
    void requests_are_neither_lost_nor_repeated_while_the_node_that_takes_them_drains() throws Exception {
        cluster.startNode();
        cutOffFrom((request, out) -> {
            runs.add(request.id());
            ScriptedTarget.writeResponse(out, request, "200 OK", "whole");
        });
        List<Integer> statuses = new ArrayList<>();
        CompletableFuture<Void> drain = null;
        for (int i = 0; i < 200; i++) {
            if (i == 50) {
                drain = CompletableFuture.runAsync(() -> sound.gateway().drainAndStop());
            }
            String id = "r" + i;
            int status = post(id, "/once/x").statusCode();
            statuses.add(status);
            assertThat(PROMISING_STATUSES.contains(status) && runs.contains(id))
                    .as(cluster.logs())
                    .isFalse();
            GatewayCluster.pause(10);
        }
        drain.get(10, TimeUnit.SECONDS);

        assertThat(runs).as(cluster.logs()).doesNotHaveDuplicates();
        assertThat(statuses).as(cluster.logs()).containsOnly(200);
    }
}
