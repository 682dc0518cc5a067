package org.poplarwharf.internal.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import org.poplarwharf.internal.admin.StatusReport;
import org.poplarwharf.internal.failure.Reporter;

/** Blocking client of a node's administration API, for commands. Immutable and thread-safe. */
final class AdminClient {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);
    private static final int HTTP_OK = 200;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final String address;
    private final String token;

    AdminClient(String address, String token) {
        this.address = address;
        this.token = token;
    }

    /** Requests the node's status and waits for the response. */
    StatusReport status() {
        Map<String, String> headers = Map.of("Authorization", "Bearer " + token);
        BlockingHttpClient.Response response = BlockingHttpClient.exchange(
                BlockingHttpClient.Request.get(address, "/status", headers), REQUEST_TIMEOUT);
        if (response.status() != HTTP_OK) {
            throw Reporter.adminRequestFailed(address, response.status(), response.body());
        }
        try {
            return JSON.readValue(response.body(), StatusReport.class);
        } catch (IOException e) {
            throw Reporter.malformedMessage(address, e);
        }
    }
}
