package org.poplarwharf.internal.admin;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.poplarwharf.FailureCode;
import org.poplarwharf.internal.cli.StatusCommand;
import org.poplarwharf.internal.kernel.NodeKernel;
import org.poplarwharf.internal.kernel.Role;
import org.poplarwharf.internal.kernel.ServiceLoaderRegistry;
import org.poplarwharf.internal.kernel.TestSettings;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellRecord.Evidence;

class AdminRoleTest {
    private static final String TOKEN = "secret";

    private final FakeCellRole cellRole = new FakeCellRole();
    private final HttpClient client = HttpClient.newHttpClient();
    private NodeKernel kernel;

    @BeforeEach
    void start() {
        start(Optional.of(TOKEN));
    }

    @AfterEach
    void stop() {
        kernel.stop();
    }

    @Test
    void health_and_readiness_need_no_token_and_all_other_paths_do() throws Exception {
        assertThat(send("GET", "/health", "", "").statusCode()).isEqualTo(200);
        assertThat(send("GET", "/ready", "", "").body()).contains("\"configVersion\":12");
        for (String path : List.of("/status", "/metrics", "/metrics.json", "/nowhere")) {
            assertThat(send("GET", path, "", "").statusCode()).isEqualTo(401);
            assertThat(send("GET", path, "Bearer wrong", "").statusCode()).isEqualTo(401);
        }
        HttpResponse<String> rejected = send("POST", "/drain", "", "");
        assertThat(rejected.body()).contains("\"code\":\"unauthorized\"").contains("\"ran\":\"no\"");
        assertThat(rejected.headers().firstValue("Content-Type")).contains("application/problem+json");
    }

    @Test
    void rejects_authenticated_paths_if_no_token_is_configured() throws Exception {
        kernel.stop();
        start(Optional.empty());
        assertThat(send("GET", "/status", "Bearer ", "").statusCode()).isEqualTo(401);
        assertThat(send("GET", "/health", "", "").statusCode()).isEqualTo(200);
    }

    @Test
    void returns_problem_documents_for_unknown_path_and_unsupported_method() throws Exception {
        assertThat(send("GET", "/nowhere", "Bearer secret", "").body()).contains("unknown-path");
        assertThat(send("GET", "/drain", "Bearer secret", "").body()).contains("method-not-allowed");
    }

    @Test
    void not_ready_before_configuration_arrives_and_while_draining() throws Exception {
        cellRole.configReady = false;
        HttpResponse<String> notReady = send("GET", "/ready", "", "");
        assertThat(notReady.statusCode()).isEqualTo(FailureCode.NOT_READY.httpStatus());
        assertThat(notReady.headers().firstValue("Retry-After")).contains("1");
        cellRole.configReady = true;
        assertThat(send("POST", "/drain", "Bearer secret", "").statusCode()).isEqualTo(200);
        kernel.drain();
        assertThat(send("GET", "/ready", "", "").body()).contains("shutting-down");
    }

    @Test
    void commits_changes_to_the_stream_of_the_cell() throws Exception {
        send("PUT", "/targets/t1/exclusion", "Bearer secret", "");
        send("DELETE", "/targets/t1/exclusion", "Bearer secret", "");
        send("DELETE", "/suspects/f1", "Bearer secret", "");
        send("POST", "/slots/settle", "Bearer secret", "{\"cell\":\"c1\",\"intentOffset\":42}");
        assertThat(cellRole.committed)
                .containsExactly(
                        new CellRecord.TargetExcluded("t1", true),
                        new CellRecord.TargetExcluded("t1", false),
                        new CellRecord.CondemnationLifted("f1"),
                        new CellRecord.OrderSettled(
                                FakeCellRole.EPOCH, FakeCellRole.INTENT_OFFSET, Evidence.OPERATOR_WORD));
    }

    @Test
    void commits_no_record_for_unknown_name_or_invalid_body() throws Exception {
        assertThat(send("PUT", "/targets/t9/exclusion", "Bearer secret", "").statusCode())
                .isEqualTo(404);
        assertThat(send("DELETE", "/suspects/f9", "Bearer secret", "").statusCode())
                .isEqualTo(404);
        for (String body : List.of("", "{", "[]", "{\"cell\":\"c1\"}", "{\"cell\":\"c1\",\"intentOffset\":\"x\"}")) {
            assertThat(send("POST", "/slots/settle", "Bearer secret", body).body())
                    .contains("invalid-request");
        }
        assertThat(cellRole.committed).isEmpty();
    }

    @Test
    void reports_a_change_that_the_fold_rejects() throws Exception {
        cellRole.acceptsRecords = false;
        HttpResponse<String> rejected =
                send("POST", "/slots/settle", "Bearer secret", "{\"cell\":\"c1\",\"intentOffset\":1}");
        assertThat(rejected.statusCode()).isEqualTo(409);
        assertThat(rejected.body()).contains("no such order");
    }

    @Test
    void serves_metrics_as_prometheus_text_and_as_json() throws Exception {
        assertThat(send("GET", "/metrics", "Bearer secret", "").body()).contains("process_cpu_seconds");
        assertThat(send("GET", "/metrics.json", "Bearer secret", "").body()).contains("\"process.heap_bytes\"");
    }

    @Test
    void status_command_prints_tables_or_json() {
        String address = kernel.settings().adminAddress();
        assertThat(runStatusCommand("--admin", address, "--token", TOKEN))
                .contains("c1    n2      false  7")
                .contains("load@42")
                .contains("register");
        assertThat(runStatusCommand("--admin", address, "--token", TOKEN, "--json"))
                .contains("\"configVersion\":12");
        assertThat(runStatusCommand("--admin", address, "--token", "wrong")).contains("unauthorized");
        assertThat(runStatusCommand("--admin", address)).contains("--token: must be given.");
    }

    private static String runStatusCommand(String... arguments) {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(output, true);
        new StatusCommand().run(List.of(arguments), stream, stream);
        return output.toString();
    }

    private void start(Optional<String> token) {
        ServiceLoaderRegistry plugins = new ServiceLoaderRegistry();
        new AdminPlugin().registerWith(plugins);
        plugins.register(Role.Factory.class, "cells", cellRole::register);
        kernel = new NodeKernel(TestSettings.create(token), plugins);
        kernel.start();
    }

    private HttpResponse<String> send(String method, String path, String authorization, String body)
            throws IOException, InterruptedException {
        HttpRequest.Builder request = HttpRequest.newBuilder(
                        URI.create("http://" + kernel.settings().adminAddress() + path))
                .timeout(Duration.ofSeconds(5))
                .method(method, BodyPublishers.ofString(body));
        if (!authorization.isEmpty()) {
            request.header("Authorization", authorization);
        }
        return client.send(request.build(), BodyHandlers.ofString());
    }
}
