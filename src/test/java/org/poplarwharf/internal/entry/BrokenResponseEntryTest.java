package org.poplarwharf.internal.entry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.poplarwharf.support.ScriptedTarget;

/** Responses without a length or chunks, from targets that end them or break them off. */
@Timeout(30)
class BrokenResponseEntryTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\n\r\n";
    private static final String STREAMED_COMPLETION_BODY = "{\"model\":\"llama\",\"stream\":true}";
    private static final String DONE = "data: [DONE]\n\n";

    /** An event without a token index, after which a stream can't be resumed. */
    private static final String EVENT = "data: {\"text\":\"a\"}\n\n";

    /** Long enough for the node to read what the target has sent. */
    private static final long READ_MILLIS = 200;

    private final EntryFixture entry = new EntryFixture();
    private ScriptedTarget target;

    @BeforeEach
    void start() throws IOException {
        target = new ScriptedTarget("i-0");
    }

    @AfterEach
    void stop() throws IOException {
        entry.close();
        target.close();
    }

    private void respond(String response, boolean reset) {
        target.script = (request, out) -> {
            ScriptedTarget.write(out, response);
            Thread.sleep(READ_MILLIS);
            if (reset) {
                request.resetConnection();
            } else {
                request.connection().close();
            }
        };
        entry.admission.targetAddresses.add("127.0.0.1:" + target.port());
    }

    private HttpResponse<String> lookUp() {
        return entry.send(entry.request("/services/ledger/casks")
                        .header("X-Deadline-Millis", "1000")
                        .GET())
                .join();
    }

    @Test
    void response_without_length_that_ends_with_its_connection_is_complete() {
        respond(HEAD + "whole", false);

        assertThat(lookUp().body()).isEqualTo("whole");
    }

    @Test
    void response_without_length_whose_connection_is_reset_is_not_complete() {
        respond(HEAD + "par", true);

        assertThat(lookUp().statusCode()).isGreaterThanOrEqualTo(500);
    }

    @Test
    void stream_without_chunks_that_ends_with_done_is_complete() {
        respond(HEAD + EVENT + DONE, false);

        assertThat(entry.send(entry.completion(STREAMED_COMPLETION_BODY)).join().body())
                .isEqualTo(EVENT + DONE);
    }

    private static String token(int index) {
        return "data: {\"token_index\":" + index + "}\n\n";
    }

    /** An event that its target repeats in the same write must neither be missing nor come twice. */
    @Test
    void repeated_event_is_passed_on_once() {
        respond(HEAD + token(0) + token(1) + token(1) + token(2) + DONE, false);

        assertThat(entry.send(entry.completion(STREAMED_COMPLETION_BODY)).join().body())
                .isEqualTo(token(0) + token(1) + token(2) + DONE);
    }

    @Test
    void stream_without_chunks_that_ends_inside_an_event_is_aborted() {
        respond(HEAD + EVENT + "data: [DONE]\n", false);

        assertThatThrownBy(() ->
                        entry.send(entry.completion(STREAMED_COMPLETION_BODY)).join())
                .hasCauseInstanceOf(IOException.class);
    }

    @Test
    void caller_without_chunks_gets_an_error_event_and_no_done_after_a_broken_stream() throws Exception {
        respond(HEAD + EVENT, false);

        assertThat(readWithoutChunks()).contains("event: error").doesNotContain("[DONE]");
    }

    private String readWithoutChunks() throws IOException {
        String address = entry.listenAddress();
        int colon = address.lastIndexOf(':');
        try (Socket socket = new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)))) {
            OutputStream out = socket.getOutputStream();
            ScriptedTarget.write(
                    out,
                    "POST /v1/chat/completions HTTP/1.0\r\nHost: " + address
                            + "\r\nContent-Type: application/json\r\nContent-Length: "
                            + STREAMED_COMPLETION_BODY.length() + "\r\n\r\n" + STREAMED_COMPLETION_BODY);
            socket.setSoTimeout(10_000);
            InputStream in = socket.getInputStream();
            StringBuilder response = new StringBuilder();
            try {
                for (int next = in.read(); next >= 0; next = in.read()) {
                    response.append(new String(new byte[] {(byte) next}, StandardCharsets.UTF_8));
                }
            } catch (IOException e) {
                response.append("\n(reset)");
            }
            return response.toString();
        }
    }
}
