package org.poplarwharf.internal.holder;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.poplarwharf.support.Eventually;
import org.poplarwharf.support.ScriptedTarget;

/**
 * Sends requests that hold a part under which engines crash, and others that share their other parts, to the nodes in turn.
 */
@Timeout(120)
class CrashingPromptPartGatewayTest {
    /** The users' bound: five crashes, and three more requests once the part should be known. */
    private static final int MAX_CRASH_COUNT = 8;

    private static final int ENGINE_COUNT = 6;
    private static final int NODE_COUNT = 3;
    private static final int CRASHING_REQUEST_COUNT = 24;
    private static final int SOUND_REQUESTS_PER_CRASHING_COUNT = 3;
    private static final long PAUSE_MILLIS = 80;
    private static final String COMMON_PART = "aa";
    private static final String CRASHING_PART = "bad1";
    private static final String MODELS = ",'models':[{'name':'m1','version':1,'adapters':[]}],'atHand':{}";

    private final AtomicInteger crashCount = new AtomicInteger();
    private final AtomicInteger requestNumber = new AtomicInteger();
    private GatewayCluster cluster;

    private void start(Predicate<String> crashesPrompt) throws IOException {
        cluster = new GatewayCluster();
        for (int i = 0; i < NODE_COUNT; i++) {
            cluster.startNode();
        }
        for (int i = 0; i < ENGINE_COUNT; i++) {
            cluster.addCrashingTarget(
                    "lm", MODELS, request -> crashesPrompt.test(request.header("X-Prompt-Prefix")), crashCount);
        }
    }

    @AfterEach
    void stop() throws IOException {
        cluster.close();
    }

    @Test
    void prompt_part_that_crashes_engines_is_refused_and_requests_that_share_its_other_parts_are_served()
            throws Exception {
        start(prompt -> prompt.contains(CRASHING_PART));
        List<HttpResponse<String>> sound = sendMixed(CRASHING_REQUEST_COUNT);

        assertThat(crashCount).hasValueLessThanOrEqualTo(MAX_CRASH_COUNT);
        assertThat(sendCrashing(0).statusCode()).isEqualTo(503);
        assertThat(lastHalf(sound)).allMatch(response -> response.statusCode() == 200);
    }

    @Test
    void nodes_that_start_later_refuse_a_prompt_part_that_crashed_engines_before() throws Exception {
        start(prompt -> prompt.contains(CRASHING_PART));
        sendMixed(CRASHING_REQUEST_COUNT);
        int crashCountBefore = crashCount.get();
        cluster.nodes.forEach(node -> node.gateway().drainAndStop());
        cluster.nodes.clear();
        for (int i = 0; i < NODE_COUNT; i++) {
            GatewayCluster.Node node = cluster.startNode();
            Eventually.eventually("the node is ready", () -> cluster.status(node.readyPort(), "/ready") == 200);
        }
        List<HttpResponse<String>> sound = sendMixed(NODE_COUNT);

        assertThat(crashCount).hasValue(crashCountBefore);
        assertThat(sendCrashing(0).statusCode()).isEqualTo(503);
        assertThat(sound).allMatch(response -> response.statusCode() == 200);
    }

    /** Such a response may have been broken off between two events. */
    @Test
    void response_whose_end_its_target_has_not_marked_does_not_clear_a_part() throws Exception {
        AtomicInteger crashingRequestCount = new AtomicInteger();
        start(prompt -> prompt.contains(CRASHING_PART) && crashingRequestCount.getAndIncrement() % 2 == 0);
        cluster.soundScript = (request, out) -> {
            if (request.header("X-Prompt-Prefix").contains(CRASHING_PART)) {
                ScriptedTarget.writeUnframedStreamHead(out, request);
                ScriptedTarget.write(out, "id: 1\ndata: x\n\n");
                request.connection().close();
            } else {
                ScriptedTarget.writeResponse(out, request, "200 OK", "whole");
            }
        };
        sendMixed(CRASHING_REQUEST_COUNT);

        assertThat(crashCount).hasValueLessThanOrEqualTo(MAX_CRASH_COUNT);
        assertThat(sendCrashing(0).statusCode()).isEqualTo(503);
    }

    @Test
    void engines_that_crash_by_themselves_condemn_no_prompt_part() throws Exception {
        Random random = new Random(1);
        start(prompt -> random.nextInt(4) == 0);
        for (int i = 0; i < CRASHING_REQUEST_COUNT; i++) {
            sendSound(i % NODE_COUNT, "rare" + i % 4);
            GatewayCluster.pause(PAUSE_MILLIS);
        }
        assertThat(crashCount).hasPositiveValue();
        for (GatewayCluster.Node node : cluster.nodes) {
            assertThat(node.log()).doesNotContain("part of the prompt crashes targets");
        }
    }

    /** Sends crashing and sound requests to the nodes in turn, and returns the responses to the sound ones. */
    private List<HttpResponse<String>> sendMixed(int crashingCount) throws IOException, InterruptedException {
        List<HttpResponse<String>> sound = new ArrayList<>();
        for (int i = 0; i < crashingCount; i++) {
            sendCrashing(i % NODE_COUNT);
            for (int j = 0; j < SOUND_REQUESTS_PER_CRASHING_COUNT; j++) {
                GatewayCluster.pause(PAUSE_MILLIS);
                sound.add(sendSound((i + j) % NODE_COUNT, "cc" + j));
            }
        }
        return sound;
    }

    private static <T> List<T> lastHalf(List<T> all) {
        return all.subList(all.size() / 2, all.size());
    }

    private HttpResponse<String> sendCrashing(int node) throws IOException, InterruptedException {
        return send(node, CRASHING_PART);
    }

    private HttpResponse<String> sendSound(int node, String secondPart) throws IOException, InterruptedException {
        return send(node, secondPart);
    }

    /** Sends a request that differs from all others in its body and in the last part of its prompt. */
    private HttpResponse<String> send(int node, String secondPart) throws IOException, InterruptedException {
        int number = requestNumber.incrementAndGet();
        return cluster.send(GatewayCluster.request(cluster.nodes.get(node).frontPort(), "/lm/x")
                .header("X-Model", "m1")
                .header("X-Token-Counts", "30,10")
                .header("X-Prompt-Prefix", COMMON_PART + ":10," + secondPart + ":10,ff" + number + ":10")
                .POST(HttpRequest.BodyPublishers.ofString("prompt " + number)));
    }
}
