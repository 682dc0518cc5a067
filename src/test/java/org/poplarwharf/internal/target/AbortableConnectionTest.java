package org.poplarwharf.internal.target;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.activej.http.HttpRequest;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.poplarwharf.internal.failure.CallerReporter;
import org.poplarwharf.support.ReactorThread;
import org.poplarwharf.support.ScriptedTarget;

/** Responses whose connection is reset, or that are large, on the connections of a node to targets. */
@Timeout(30)
class AbortableConnectionTest {
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final int MAX_BODY_BYTES = 1 << 20;

    /** Far more than the socket buffers between node and target hold. */
    private static final int LONG_BODY_BYTES = (4 << 20) - 1_000;

    /** Long enough for the node to read what the target has sent. */
    private static final long READ_MILLIS = 200;

    private final ReactorThread thread = new ReactorThread();
    private ScriptedTarget target;

    @BeforeEach
    void start() throws IOException {
        target = new ScriptedTarget("i-0");
    }

    @AfterEach
    void stop() throws IOException {
        target.close();
        thread.close();
    }

    private String post(int bodyBytes) {
        byte[] body = thread.await(() -> {
            AbortableConnection connection = new AbortableConnectionPool(thread.reactor(), TIMEOUT_MILLIS)
                    .openSingleUse("127.0.0.1:" + target.port(), TIMEOUT_MILLIS);
            HttpRequest request = HttpRequest.post("http://127.0.0.1:" + target.port() + "/x")
                    .withBody(new byte[bodyBytes])
                    .build();
            return connection
                    .exchange(request)
                    .then(response -> BoundedBodyReader.read(
                            response.takeBodyStream(),
                            MAX_BODY_BYTES,
                            connection::withProgressTimeout,
                            () -> CallerReporter.targetFailed("t", null)));
        });
        return new String(body, StandardCharsets.US_ASCII);
    }

    /** The response begins before the request is written, as that of a server that answers an upload at once. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void part_of_an_unframed_response_to_an_upload_that_is_reset_does_not_look_complete(boolean endsBeforeReset) {
        target.leavesBodyUnread = true;
        target.script = (request, out) -> {
            ScriptedTarget.write(out, "HTTP/1.1 200 OK\r\n\r\npar");
            Thread.sleep(READ_MILLIS);
            if (endsBeforeReset) {
                request.connection().shutdownOutput();
                Thread.sleep(READ_MILLIS);
            }
            request.resetConnection();
        };

        assertThatThrownBy(() -> post(LONG_BODY_BYTES)).isInstanceOf(IllegalStateException.class);
    }

    /** The parts fill the read buffer of the client after a status line that arrives in parts. */
    @Test
    void large_response_whose_status_line_arrives_in_parts_after_an_interim_one_is_whole() {
        String body = "x".repeat(500_000);
        target.script = (request, out) -> {
            for (String part : new String[] {"HTTP/1.1", " 103 Early Hints\r\n\r\nHTTP/1.1 2", "00 OK\r\n"}) {
                ScriptedTarget.write(out, part);
                Thread.sleep(READ_MILLIS);
            }
            ScriptedTarget.write(out, "Content-Length: " + body.length() + "\r\n\r\n" + body);
        };

        assertThat(post(1)).isEqualTo(body);
    }

    @Test
    void transfer_coding_that_the_decoder_does_not_recognize_is_no_body_of_chunks() {
        target.script = (request, out) -> ScriptedTarget.write(
                out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked \r\n\r\n5\r\nwhole\r\n0\r\n\r\n");

        assertThatThrownBy(() -> post(1)).hasMessageContaining("transfer coding");
    }
}
