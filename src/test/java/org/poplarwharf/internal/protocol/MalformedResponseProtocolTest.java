package org.poplarwharf.internal.protocol;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.poplarwharf.FailureCode;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.target.RawHttpTarget;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.EngineDialect.Order;
import org.poplarwharf.plugins.EngineDialect.OrderKind;
import org.poplarwharf.plugins.EngineDialect.OrderReply;
import org.poplarwharf.support.ReactorThread;

/** Guards against appends, orders and reports of a node whose result is read from bytes that are no HTTP response. */
@Timeout(30)
class MalformedResponseProtocolTest {
    private static final String MALFORMED_FIELD = "X Note: 1\r\n";

    private final ReactorThread thread = new ReactorThread();

    @AfterEach
    void stop() {
        thread.close();
    }

    private static RawHttpTarget serverOf(String statusLine, String fieldLines, String body) throws IOException {
        byte[] response = ("HTTP/1.1 " + statusLine + "\r\n" + fieldLines + "Content-Length: " + body.length()
                        + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1);
        return new RawHttpTarget((n, head, out) -> {
            out.write(response);
            return true;
        });
    }

    private long append(RawHttpTarget server) {
        return thread.await(() -> new HttpEventLog(thread.reactor(), server.address()).append("s", new byte[] {1}));
    }

    private OrderReply order(RawHttpTarget server) {
        Order order = new Order(OrderKind.LOAD, ArtifactId.model("m"), "v1", 1, 1);
        return thread.await(() -> new HttpEngineDialect(thread.reactor()).sendOrder(server.address(), order));
    }

    private static FailureCode codeOf(Runnable call) {
        return catchThrowableOfType(PoplarWharfException.class, call::run).code();
    }

    @ParameterizedTest
    @ValueSource(strings = {"200 OK", "503 Service Unavailable"})
    void append_answered_with_a_malformed_head_has_an_unknown_outcome(String status) throws Exception {
        try (RawHttpTarget server = serverOf(status, MALFORMED_FIELD, "3")) {
            assertThat(codeOf(() -> append(server))).isEqualTo(FailureCode.LOG_OUTCOME_UNKNOWN);
            assertThat(server.requests).hasSize(1);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"202 Accepted", "409 Conflict", "422 Unprocessable"})
    void order_answered_with_a_malformed_head_has_an_unknown_outcome(String status) throws Exception {
        try (RawHttpTarget server = serverOf(status, MALFORMED_FIELD, "{\"code\":\"x\",\"reason\":\"y\"}")) {
            assertThat(codeOf(() -> order(server))).isEqualTo(FailureCode.TARGET_FAILED);
            assertThat(server.requests).hasSize(1);
        }
    }

    @Test
    void order_is_accepted_by_the_response_after_an_interim_one() throws Exception {
        try (RawHttpTarget server = serverOf("100 Continue\r\n\r\nHTTP/1.1 202 Accepted", "", "")) {
            assertThat(order(server)).isEqualTo(new OrderReply.Accepted());
        }
    }

    @Test
    void records_and_vms_in_malformed_responses_are_not_read() throws Exception {
        try (RawHttpTarget server = serverOf("200 OK", MALFORMED_FIELD, "{\"vms\":[]}")) {
            assertThat(codeOf(() -> thread.await(() -> new HttpVmList(thread.reactor(), server.address()).list())))
                    .isEqualTo(codeOf(
                            () -> thread.await(() -> new HttpVmList(thread.reactor(), "127.0.0.1:1").list())));
            assertThat(codeOf(
                            () -> thread.await(() -> new HttpEngineDialect(thread.reactor()).report(server.address()))))
                    .isEqualTo(FailureCode.TARGET_FAILED);
            assertThat(codeOf(() -> thread.await(
                            () -> new HttpEventLog(thread.reactor(), server.address()).read("s", 0, 10, 0))))
                    .isEqualTo(FailureCode.LOG_UNAVAILABLE);
        }
    }
}
