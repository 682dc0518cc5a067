package org.poplarwharf.internal.holder;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.poplarwharf.support.ScriptedTarget;

/** Sound targets that fall silent for a while and go on. */
@Timeout(30)
class SilentTargetGatewayTest {
    private static final long SILENT_MILLIS = 2_000;

    /** Within the timeout of the route for requests that may be repeated, and far above its objective. */
    private static final long LATE_RESPONSE_MILLIS = 1_500;

    private static final int LAST_EVENT = 3;
    private static final String WHOLE_STREAM = "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n";

    private static final int KEPT_CONNECTION_REQUEST_COUNT = 4;
    private static final int LARGE_EVENT_COUNT = 400;
    private static final String LARGE_DATA = "x".repeat(50_000);

    private final AtomicInteger runCount = new AtomicInteger();
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

    /** Streams the events that the caller lacks, and falls silent after the first of them. */
    private void streamWithSilence(ScriptedTarget.Request request, OutputStream out)
            throws IOException, InterruptedException {
        runCount.incrementAndGet();
        ScriptedTarget.writeStreamHead(out, request);
        String lastEventId = request.header("last-event-id");
        int firstEvent = lastEventId.isEmpty() ? 1 : Integer.parseInt(lastEventId) + 1;
        for (int number = firstEvent; number <= LAST_EVENT; number++) {
            ScriptedTarget.writeEvent(out, number);
            if (number == firstEvent) {
                Thread.sleep(SILENT_MILLIS);
            }
        }
        ScriptedTarget.write(out, "0\r\n\r\n");
    }

    private void assertWholeStream(String path) throws Exception {
        HttpResponse<String> response = cluster.post(node.frontPort(), path);

        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body()).isEqualTo(WHOLE_STREAM);
    }

    @Test
    void stream_is_not_cut_while_its_only_target_is_silent() throws Exception {
        cluster.addTarget("desk", "").script = this::streamWithSilence;

        assertWholeStream("/resume/x");
    }

    @Test
    void stream_is_not_cut_where_every_target_falls_silent_in_turn() throws Exception {
        for (int i = 0; i < 4; i++) {
            cluster.addTarget("desk", "").script = this::streamWithSilence;
        }
        assertWholeStream("/resume/x");
    }

    @Test
    void stream_that_may_not_move_is_not_cut_while_its_target_is_silent() throws Exception {
        cluster.addTarget("desk", "").script = this::streamWithSilence;

        assertWholeStream("/stream/x");
    }

    @Test
    void stream_is_not_cut_where_the_other_target_declines() throws Exception {
        addTargetsOfWhichTheSecondToBeAsked(
                (request, out) -> ScriptedTarget.writeNotExecuted(out, request, "503 Service Unavailable"));

        assertWholeStream("/resume/x");
    }

    @Test
    void stream_is_not_cut_where_the_other_target_cannot_be_reached() throws Exception {
        ScriptedTarget first = cluster.addTarget("desk", "");
        ScriptedTarget second = cluster.addTarget("desk", "");
        first.script = (request, out) -> {
            second.crash();
            streamWithSilence(request, out);
        };
        second.script = (request, out) -> {
            first.crash();
            streamWithSilence(request, out);
        };
        assertWholeStream("/resume/x");
    }

    @Test
    void stream_is_not_cut_where_the_other_target_has_another_software_version() throws Exception {
        cluster.addTarget("desk", "", "v1").script = this::streamWithSilence;
        cluster.addTarget("desk", "", "v2").script = this::streamWithSilence;

        assertWholeStream("/resume/x");
        assertThat(runCount).hasValue(1);
    }

    @Test
    void response_is_not_given_up_while_its_only_target_is_silent() throws Exception {
        cluster.addTarget("desk", "").script = SilentTargetGatewayTest::respondLate;

        assertThat(cluster.get(node.frontPort(), "/safe/x").statusCode()).isEqualTo(200);
    }

    @Test
    void response_is_not_given_up_where_the_other_target_fails() throws Exception {
        addTargetsOfWhichTheSecondToBeAsked(
                (request, out) -> ScriptedTarget.writeResponse(out, request, "500 Internal Server Error", "no"));

        assertThat(cluster.get(node.frontPort(), "/safe/x").statusCode()).isEqualTo(200);
    }

    @Test
    void request_on_a_kept_connection_that_is_silent_for_good_runs_elsewhere_in_time() throws Exception {
        Set<Socket> usedConnections = ConcurrentHashMap.newKeySet();
        for (int i = 0; i < 2; i++) {
            cluster.addTarget("desk", "").script = (request, out) -> {
                if (usedConnections.add(request.connection())) {
                    ScriptedTarget.writeResponse(out, request, "200 OK", "whole");
                } else {
                    request.closedByPeerWithin(30_000);
                }
            };
        }
        for (int i = 0; i < KEPT_CONNECTION_REQUEST_COUNT; i++) {
            assertThat(cluster.get(node.frontPort(), "/safe/x").statusCode()).isEqualTo(200);
        }
    }

    @Test
    void stream_does_not_move_while_its_caller_reads_nothing() throws Exception {
        for (int i = 0; i < 2; i++) {
            cluster.addTarget("desk", "").script = (request, out) -> {
                runCount.incrementAndGet();
                ScriptedTarget.writeStreamHead(out, request);
                for (int number = 1; number <= LARGE_EVENT_COUNT; number++) {
                    ScriptedTarget.writeChunk(out, "id: " + number + "\ndata: " + LARGE_DATA + "\n\n");
                }
                ScriptedTarget.write(out, "0\r\n\r\n");
            };
        }
        try (Socket caller = new Socket("127.0.0.1", node.frontPort())) {
            ScriptedTarget.write(
                    caller.getOutputStream(),
                    "POST /resume/x HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: r1\r\nConnection: close\r\n"
                            + "Content-Length: 0\r\n\r\n");
            Thread.sleep(SILENT_MILLIS);
            String response = new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);

            assertThat(response).contains("id: " + LARGE_EVENT_COUNT + "\n").endsWith("0\r\n\r\n");
        }
        assertThat(runCount).hasValue(1);
    }

    private static void respondLate(ScriptedTarget.Request request, OutputStream out)
            throws IOException, InterruptedException {
        Thread.sleep(LATE_RESPONSE_MILLIS);
        ScriptedTarget.writeResponse(out, request, "200 OK", "whole");
    }

    /** Adds two targets; the one that is asked first falls silent and goes on, whichever that is. */
    private void addTargetsOfWhichTheSecondToBeAsked(ScriptedTarget.Script other) throws IOException {
        AtomicInteger askedCount = new AtomicInteger();
        for (int i = 0; i < 2; i++) {
            cluster.addTarget("desk", "").script = (request, out) -> {
                if (askedCount.incrementAndGet() > 1) {
                    other.respond(request, out);
                } else if (request.line().contains("/resume/")) {
                    streamWithSilence(request, out);
                } else {
                    respondLate(request, out);
                }
            };
        }
    }
}
