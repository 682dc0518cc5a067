package org.poplarwharf.internal.holder;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.poplarwharf.support.ScriptedTarget;

/** Responses that their targets break off must not look complete to callers, however they are framed. */
@Timeout(30)
class BrokenResponseGatewayTest {
    private static final String PARTIAL_EVENT = "id: 3\nda";

    /** Far more than the socket buffers between node and target hold. */
    private static final int LONG_BODY_BYTES = (4 << 20) - 1_000;

    /** Long enough for the node to read what the target has sent. */
    private static final long READ_MILLIS = 300;

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

    private static void writeEvents(OutputStream out, int first, int last) throws IOException {
        for (int number = first; number <= last; number++) {
            ScriptedTarget.write(out, ScriptedTarget.eventText(number));
        }
    }

    private static String events(int first, int last) {
        StringBuilder events = new StringBuilder();
        for (int number = first; number <= last; number++) {
            events.append(ScriptedTarget.eventText(number));
        }
        return events.toString();
    }

    private void addTarget(ScriptedTarget.Script script) throws IOException {
        cluster.addTarget("desk", "").script = script;
    }

    private void assertLooksBroken(String path) {
        assertThatThrownBy(() -> cluster.post(node.frontPort(), path)).isInstanceOf(IOException.class);
    }

    @Test
    void stream_without_length_or_chunks_that_ends_with_its_connection_is_complete() throws Exception {
        addTarget((request, out) -> {
            ScriptedTarget.writeUnframedStreamHead(out, request);
            writeEvents(out, 1, 3);
            request.connection().close();
        });

        assertThat(cluster.post(node.frontPort(), "/stream/x").body()).isEqualTo(events(1, 3));
    }

    @Test
    void stream_whose_connection_ends_inside_an_event_does_not_look_complete() throws Exception {
        addTarget((request, out) -> {
            ScriptedTarget.writeUnframedStreamHead(out, request);
            writeEvents(out, 1, 2);
            ScriptedTarget.write(out, PARTIAL_EVENT);
            request.connection().close();
        });

        assertLooksBroken("/stream/x");
    }

    @Test
    void stream_whose_connection_ends_inside_its_first_event_fails() throws Exception {
        addTarget((request, out) -> {
            ScriptedTarget.writeUnframedStreamHead(out, request);
            ScriptedTarget.write(out, PARTIAL_EVENT);
            request.connection().close();
        });

        assertThat(cluster.post(node.frontPort(), "/stream/x").statusCode()).isEqualTo(502);
    }

    @Test
    void stream_whose_connection_ends_before_its_first_event_fails() throws Exception {
        addTarget((request, out) -> {
            ScriptedTarget.writeUnframedStreamHead(out, request);
            request.connection().close();
        });

        assertThat(cluster.post(node.frontPort(), "/stream/x").statusCode()).isEqualTo(502);
    }

    @Test
    void stream_whose_last_chunk_follows_a_partial_event_does_not_look_complete() throws Exception {
        addTarget((request, out) -> {
            ScriptedTarget.writeStreamHead(out, request);
            ScriptedTarget.writeChunk(out, events(1, 2) + PARTIAL_EVENT);
            ScriptedTarget.write(out, "0\r\n\r\n");
        });

        assertLooksBroken("/stream/x");
    }

    @Test
    void responses_that_have_no_body_are_complete_on_a_route_for_streams() throws Exception {
        addTarget((request, out) -> {
            boolean isHead = request.line().startsWith("HEAD");
            ScriptedTarget.write(
                    out,
                    "HTTP/1.1 " + (isHead ? "200 OK" : "204 No Content") + "\r\nX-Request-Id: " + request.id()
                            + "\r\nX-Response-Seal: s\r\n\r\n");
        });
        HttpRequest.Builder head = GatewayCluster.request(node.frontPort(), "/stream/x")
                .method("HEAD", HttpRequest.BodyPublishers.noBody());

        assertThat(cluster.send(head).statusCode()).isEqualTo(200);
        assertThat(cluster.post(node.frontPort(), "/stream/x").statusCode()).isEqualTo(204);
    }

    @Test
    void resumable_stream_whose_connection_ends_inside_an_event_continues_at_another_target() throws Exception {
        AtomicInteger runCount = new AtomicInteger();
        ScriptedTarget.Script script = (request, out) -> {
            ScriptedTarget.writeUnframedStreamHead(out, request);
            if (runCount.incrementAndGet() == 1) {
                writeEvents(out, 1, 2);
                ScriptedTarget.write(out, PARTIAL_EVENT);
            } else {
                writeEvents(out, Integer.parseInt(request.header("Last-Event-Id")) + 1, 4);
            }
            request.connection().close();
        };
        addTarget(script);
        addTarget(script);

        assertThat(cluster.post(node.frontPort(), "/resume/x").body()).isEqualTo(events(1, 4));
    }

    @Test
    void continued_stream_that_breaks_off_inside_an_event_does_not_look_complete() throws Exception {
        ScriptedTarget.Script script = (request, out) -> {
            ScriptedTarget.writeUnframedStreamHead(out, request);
            int first = request.headers().containsKey("last-event-id") ? 2 : 1;
            writeEvents(out, first, first);
            ScriptedTarget.write(out, PARTIAL_EVENT);
            request.connection().close();
        };
        addTarget(script);
        addTarget(script);

        assertLooksBroken("/resume/x");
    }

    /** Adds three targets; the one that runs a request first breaks its stream off, the others respond as scripted. */
    private void addBreakingTargets(ScriptedTarget.Script continuation) throws IOException, InterruptedException {
        AtomicInteger runCount = new AtomicInteger();
        ScriptedTarget.Script script = (request, out) -> {
            if (request.line().contains("/safe/")) {
                ScriptedTarget.writeResponse(out, request, "200 OK", "whole");
                return;
            }
            if (runCount.incrementAndGet() > 1) {
                continuation.respond(request, out);
                return;
            }
            ScriptedTarget.writeStreamHead(out, request);
            ScriptedTarget.writeEvent(out, 1);
            Thread.sleep(READ_MILLIS);
            request.connection().close();
        };
        for (int i = 0; i < 3; i++) {
            addTarget(script);
        }
        // The budget for retries grows with the requests.
        for (int i = 0; i < 3; i++) {
            cluster.post(node.frontPort(), "/safe/x");
        }
    }

    @Test
    void failure_of_the_target_that_should_continue_a_stream_does_not_end_it_as_complete() throws Exception {
        addBreakingTargets((request, out) -> ScriptedTarget.writeResponse(
                out, request, "500 Internal Server Error", "{\"error\":\"out of memory\"}"));

        assertLooksBroken("/resume/x");
    }

    @Test
    void refusal_of_the_target_that_should_continue_a_stream_is_not_written_into_it() throws Exception {
        AtomicInteger continuationCount = new AtomicInteger();
        addBreakingTargets((request, out) -> {
            if (continuationCount.incrementAndGet() > 1) {
                ScriptedTarget.writeUnframedStreamHead(out, request);
                writeEvents(out, 2, 3);
                request.connection().close();
                return;
            }
            ScriptedTarget.write(
                    out,
                    "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Request-Id: " + request.id()
                            + "\r\nContent-Length: 7\r\n\r\nrefusal");
        });

        assertThat(cluster.post(node.frontPort(), "/resume/x").body()).isEqualTo(events(1, 3));
    }

    @Test
    void response_whose_connection_is_reset_while_the_request_is_written_does_not_look_complete() throws Exception {
        ScriptedTarget target = cluster.addTarget("desk", "");
        target.leavesBodyUnread = true;
        target.script = (request, out) -> {
            ScriptedTarget.writeUnframedStreamHead(out, request);
            writeEvents(out, 1, 2);
            Thread.sleep(READ_MILLIS);
            request.resetConnection();
        };

        assertThatThrownBy(() -> postLongBody("/stream/x")).isInstanceOf(IOException.class);
        assertThat(postLongBody("/once/x").statusCode()).isEqualTo(502);
    }

    private HttpResponse<String> postLongBody(String path) throws IOException, InterruptedException {
        return cluster.send(GatewayCluster.request(node.frontPort(), path)
                .POST(HttpRequest.BodyPublishers.ofByteArray(new byte[LONG_BODY_BYTES])));
    }

    /** Sends a request without a body on a connection of its own, and returns the response up to the connection's end. */
    private String readAll(String requestLine, String expectedEnd) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", node.frontPort())) {
            ScriptedTarget.write(
                    socket.getOutputStream(),
                    requestLine + "\r\nHost: 127.0.0.1\r\nX-Request-Id: raw" + System.nanoTime()
                            + "\r\nContent-Length: 0\r\n\r\n");
            socket.setSoTimeout(10_000);
            InputStream in = socket.getInputStream();
            StringBuilder response = new StringBuilder();
            byte[] buffer = new byte[4_096];
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                response.append(new String(buffer, 0, count, StandardCharsets.UTF_8));
            }
            assertThat(response.toString()).endsWith(expectedEnd);
            return response.toString();
        }
    }

    @Test
    void caller_without_chunks_sees_the_end_of_a_complete_stream_and_a_reset_after_a_broken_one() throws Exception {
        AtomicInteger runCount = new AtomicInteger();
        addTarget((request, out) -> {
            ScriptedTarget.writeStreamHead(out, request);
            ScriptedTarget.writeEvent(out, 1);
            if (runCount.incrementAndGet() == 1) {
                ScriptedTarget.write(out, "0\r\n\r\n");
                return;
            }
            Thread.sleep(READ_MILLIS);
            request.connection().close();
        });

        assertThat(readAll("POST /stream/x HTTP/1.0", events(1, 1))).doesNotContain("chunked");
        assertThatThrownBy(() -> readAll("POST /stream/x HTTP/1.0", ""))
                .isInstanceOf(IOException.class)
                .hasMessageContaining("reset");
    }
}
