package org.poplarwharf.internal.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.poplarwharf.support.ScriptedTarget;

/** Targets that send a second copy of a response, late, on a connection that is in use again. */
@Timeout(30)
class ReusedConnectionEntryTest {
    private static final int REQUEST_COUNT = 6;

    private final EntryFixture entry = new EntryFixture();
    private final Map<Socket, ScriptedTarget.Request> earlierRequests = new ConcurrentHashMap<>();
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

    /** Each attempt has an id of its own, so that a copy is told also from the response to a second send of a request. */
    @Test
    void late_copy_of_a_response_is_the_response_to_no_other_attempt() {
        target.script = (request, out) -> {
            ScriptedTarget.Request earlier = earlierRequests.put(request.connection(), request);
            if (earlier != null) {
                ScriptedTarget.writeResponse(out, earlier, "503 Service Unavailable", "late copy");
            }
            ScriptedTarget.writeResponse(out, request, "200 OK", "response to " + request.id());
        };
        for (int i = 0; i < 3 * REQUEST_COUNT; i++) {
            entry.admission.targetAddresses.add("127.0.0.1:" + target.port());
        }

        for (int i = 0; i < REQUEST_COUNT; i++) {
            String body = entry.send(entry.request("/services/ledger/casks")
                            .header("X-Deadline-Millis", "1000")
                            .GET())
                    .join()
                    .body();

            assertThat(body).startsWith("response to ");
        }
        assertThat(target.executedRequestIds).doesNotHaveDuplicates().hasSizeGreaterThan(REQUEST_COUNT);
    }
}
