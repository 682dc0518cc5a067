package org.poplarwharf.internal.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import org.poplarwharf.internal.admin.StatusReport;
import org.poplarwharf.internal.failure.Reporter;

/** Reads the administration API of a node, for commands. Each call blocks; immutable and thread-safe. */
final class AdminClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int OK = 200;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final String address;
    private final String token;

    AdminClient(String address, String token) {
        this.address = address;
        this.token = token;
    }

    /** Returns the node's status. */
    StatusReport status() {
        Map<String, String> headers = Map.of("Authorization", "Bearer " + token);
        BlockingHttp.Answer answer = BlockingHttp.exchange(BlockingHttp.Call.get(address, "/status", headers), TIMEOUT);
        if (answer.status() != OK) {
            throw Reporter.adminRequestFailed(address, answer.status(), answer.body());
        }
        try {
            return JSON.readValue(answer.body(), StatusReport.class);
        } catch (IOException e) {
            throw Reporter.malformedMessage(address, e);
        }
    }
}
