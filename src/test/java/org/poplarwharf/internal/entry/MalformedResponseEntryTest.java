package org.poplarwharf.internal.entry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.poplarwharf.support.Eventually.eventually;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.poplarwharf.internal.admission.GrantCompletion.Outcome;
import org.poplarwharf.internal.failure.CallerReporter;
import org.poplarwharf.support.ScriptedTarget;

/** Guards against bytes of targets that are no HTTP response but reach callers of a node as one. */
@Timeout(30)
class MalformedResponseEntryTest {
    private static final String STREAMED_COMPLETION_BODY = "{\"model\":\"llama\",\"stream\":true}";
    private static final String DONE = "data: [DONE]\n\n";

    /** Long enough for the node to read what the target has sent. */
    private static final long READ_MILLIS = 100;

    private final EntryFixture entry = new EntryFixture();
    private ScriptedTarget target;

    @BeforeEach
    void start() throws IOException {
        target = new ScriptedTarget("i-0");
        entry.admission.targetAddresses.add("127.0.0.1:" + target.port());
    }

    @AfterEach
    void stop() throws IOException {
        entry.close();
        target.close();
    }

    private void respond(String... parts) {
        target.script = (request, out) -> {
            for (String part : parts) {
                ScriptedTarget.write(out, part);
                Thread.sleep(READ_MILLIS);
            }
        };
    }

    private HttpResponse<String> lookUp() {
        return entry.send(entry.request("/services/ledger/casks")
                        .header("X-Deadline-Millis", "1000")
                        .GET())
                .join();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 OK",
                "HTTP/1.1 600 OK",
                "HTTP/1.1 2000 OK",
                "HTTP/1.1 200OK",
                "HTTP/1.1 200 OK\r\nX Note: 1",
                "HTTP/1.1 200 OK\r\nX-Note : 1",
                "HTTP/1.1 200 OK\r\nX-\u0001Note: 1",
                "HTTP/1.1 200 OK\r\nX-Note: \u0000",
                "HTTP/1.1 200 OK\r\n: 1",
                "HTTP/1.1 200 OK\r\nContent-Length: 2",
                "HTTP/1.1 503 Service Unavailable\r\nX Note: 1"
            })
    void malformed_head_does_not_reach_the_caller(String head) {
        respond(head + "\r\nContent-Length: 4\r\n\r\nlast");
        entry.admission.refusal = Optional.of(CallerReporter.overloaded("No other target is free."));

        HttpResponse<String> response = lookUp();

        assertThat(response.statusCode()).as(response.body()).isEqualTo(502);
        assertThat(response.body()).contains("\"ran\":\"unknown\"");
        assertThat(entry.admission.releasedOutcomes).containsExactly(Outcome.CONNECTION_LOST);
        eventually("the connection is closed", () -> target.closedByPeerCount.get() > 0);
        assertThat(target.executedRequestIds).hasSize(1);
    }

    @Test
    void interim_responses_do_not_stand_for_the_response_that_follows_them() {
        respond("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\n"
                + "Content-Length: 5\r\n\r\nwhole");

        assertThat(lookUp().body()).isEqualTo("whole");
    }

    @Test
    void interim_responses_that_arrive_in_parts_do_not_stand_for_the_response_that_follows_them() {
        respond(
                "HTTP/1",
                ".1 1",
                "03 Early Hints\r\nLi",
                "nk: </x>\r\n\r\nHTTP/",
                "1.1 ",
                "200 OK\r\nContent-Length: 5\r\n\r\nwhole");

        assertThat(lookUp().body()).isEqualTo("whole");
    }

    @Test
    void stream_with_a_malformed_trailer_or_chunk_ends_with_an_error_event() {
        String event = "data: {\"text\":\"a\"}\n\n";
        respond(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                Integer.toHexString(event.length()) + "\r\n" + event + "\r\n",
                Integer.toHexString(DONE.length()) + ";a b\r\n" + DONE + "\r\n0\r\n\r\n");

        HttpResponse<String> response = entry.send(entry.completion(STREAMED_COMPLETION_BODY))
                .handle((received, e) -> received)
                .join();

        assertThat(response == null || response.body().contains("event: error")).isTrue();
    }

    @Test
    void bytes_after_a_response_are_not_the_response_to_the_next_request() {
        AtomicInteger requestCount = new AtomicInteger();
        entry.admission.targetAddresses.add("127.0.0.1:" + target.port());
        target.script = (request, out) -> {
            String body = "body" + requestCount.incrementAndGet();
            ScriptedTarget.write(
                    out,
                    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n" + body
                            + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray");
        };

        assertThat(lookUp().body()).isEqualTo("body1");
        assertThat(lookUp().body()).isEqualTo("body2");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 \r\nContent-Length: 5",
                "HTTP/1.1 200\r\ncontent-length:5",
                "HTTP/1.1 200 OK\r\nX-Note: a\r\n b\r\n\tc\r\nContent-Length: 5",
                "HTTP/1.0 200 OK\r\nContent-Length: 5"
            })
    void responses_that_are_rare_but_lawful_reach_the_caller(String head) {
        respond(head + "\r\n\r\nwhole");

        assertThat(lookUp().body()).isEqualTo("whole");
    }
}
