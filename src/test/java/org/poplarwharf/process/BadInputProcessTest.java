package org.poplarwharf.process;

import static org.assertj.core.api.Assertions.assertThat;
import static org.poplarwharf.support.Eventually.eventually;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.poplarwharf.FailureCode;
import org.poplarwharf.support.TestHttpClient;

/** Checks that a running node and the commands reject each kind of invalid input with a clear error. */
class BadInputProcessTest {
    private static final String ADMIN_PREFIX = "admin:";
    private static final int MAX_BODY_BYTES = 10_000;
    private static final String OVERSIZED_BODY = "{\"model\":\"" + "x".repeat(MAX_BODY_BYTES) + "\"}";

    @TempDir
    private static Path folder;

    private static Cluster cluster;

    @BeforeAll
    static void start() throws IOException {
        List<String> options = List.of("--max-body", Integer.toString(MAX_BODY_BYTES));
        cluster = Cluster.start(folder, ClusterSettings.of(1, 1).withNodeOptions(options));
        String yaml = """
                cells: [{name: main, zones: [z1]}]
                targets: [{name: service, kind: service, address: "%s", zone: z1}]
                services: [{name: ledger, targets: [service], nonRepeatable: [{method: POST, path: /entries}]}]
                """.formatted(cluster.sharedLinkAddress("service"));
        Path configuration = writeFiles(Map.of("10-all.yaml", yaml));
        String log = cluster.process("log").awaitListening().address();
        assertThat(cluster.runCommand("config", "publish", "--log", log, configuration.toString())
                        .exitCode())
                .isZero();
        cluster.startNodes();
        cluster.awaitOk(cluster.process("n1").awaitListening().admin() + "/ready");
        eventually(
                "the configuration is current",
                () -> sendRequest("GET", "/services/ledger/x", null, null, null).status() == 200);
    }

    @AfterAll
    static void stop() {
        cluster.close();
    }

    /** Columns: description, request, expected error code, and a part of the hint on how to correct the request. */
    @ParameterizedTest(name = "{0}")
    @CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
            no JSON          | POST | /v1/chat/completions     | application/json |       | {"model":     | invalid-request        | Send a chat completion
            JSON, other form | POST | /v1/chat/completions     | application/json |       | [1]           | invalid-request        | Send a chat completion
            no model         | POST | /v1/chat/completions     | application/json |       | {}            | invalid-request        | to name:adapter
            unknown model    | POST | /v1/chat/completions     | application/json |       | {"model":"m"} | unknown-model          | Check the name
            oversized body   | POST | /v1/chat/completions     | application/json |       | LARGE         | body-too-large         | Send a smaller body
            content type     | POST | /v1/chat/completions     | text/csv         |       | {"model":"m"} | unsupported-media-type | Send Content-Type
            method           | GET  | /v1/chat/completions     |                  |       |               | method-not-allowed     | Use POST
            unknown path     | GET  | /v2                      |                  |       |               | unknown-path           | /services/NAME/
            unknown service  | GET  | /services/none/x         |                  |       |               | unknown-service        | Check the name
            bad deadline     | GET  | /services/ledger/x       |                  | X-Deadline-Millis: soon     | | invalid-request    | whole number
            unknown class    | GET  | /services/ledger/x       |                  | X-Request-Class: odd        | | invalid-request    | Use a class
            no key           | POST | /services/ledger/entries | text/plain       |       | x             | invalid-request        | Send an Idempotency-Key
            missing token    | GET  | admin:/status            |                  |       |               | unauthorized           | Send Authorization
            wrong token      | POST | admin:/drain             |                  | Authorization: Bearer guess | | unauthorized       | --admin-token
            admin path       | GET  | admin:/x                 |                  | TOKEN |               | unknown-path           | docs/OPERATORS.md
            admin method     | GET  | admin:/drain             |                  | TOKEN |               | method-not-allowed     | docs/OPERATORS.md
            admin body       | POST | admin:/slots/settle      | application/json | TOKEN | {             | invalid-request        | intentOffset
            """)
    void invalid_request_is_rejected_as_not_run_with_its_code_and_a_hint(
            String description,
            String method,
            String path,
            String contentType,
            String header,
            String body,
            String code,
            String hint) {
        TestHttpClient.Response response = sendRequest(method, path, contentType, header, body);
        FailureCode expectedCode = FailureCode.valueOf(code.replace('-', '_').toUpperCase(Locale.ROOT));
        assertThat(response.status()).as(description + " " + response.body()).isEqualTo(expectedCode.httpStatus());
        assertThat(response.body())
                .contains("\"code\":\"" + code + "\"", "\"ran\":\"no\"")
                .contains(hint);
    }

    private static TestHttpClient.Response sendRequest(
            String method, String path, String contentType, String header, String body) {
        PoplarProcess.ListeningAddresses node = cluster.process("n1").awaitListening();
        String url = path.startsWith(ADMIN_PREFIX)
                ? node.admin() + path.substring(ADMIN_PREFIX.length())
                : node.listen() + path;
        HttpRequest.Builder request = HttpRequest.builder(HttpMethod.valueOf(method), "http://" + url);
        if (contentType != null) {
            request.withHeader(HttpHeaders.CONTENT_TYPE, contentType);
        }
        if (header != null) {
            String[] parts = header.replace("TOKEN", "Authorization: Bearer " + Cluster.ADMIN_TOKEN)
                    .split(": ");
            request.withHeader(HttpHeaders.of(parts[0]), parts[1]);
        }
        if (body != null) {
            request.withBody(body.replace("LARGE", OVERSIZED_BODY).getBytes(StandardCharsets.UTF_8));
        }
        return cluster.http().send(request.build());
    }

    @Test
    void all_invalid_files_are_reported_together_with_file_key_and_reason() throws IOException {
        Path configuration = writeFiles(Map.of(
                "10-cells.yaml",
                "cells: [{name: main, zones: [z1], colour: red}]",
                "20-models.yaml",
                "models: [{name: m, version: v1, size: 14G}]",
                "30-models.yaml",
                "models: [{name: m, version: v2}]",
                "40-adapters.yaml",
                "adapters: [{model: other, name: a, version: v1, size: 1GiB}]",
                "50-broken.yaml",
                "models: ["));
        PoplarProcess.ExitResult result = cluster.runCommand("config", "check", configuration.toString());
        assertThat(result.exitCode()).isEqualTo(1);
        assertThat(result.errors().lines())
                .allMatch(line -> line.startsWith("poplarwharf config check: config-invalid: "))
                .anyMatch(line -> line.contains("10-cells.yaml: cells[0].colour: unknown key"))
                .anyMatch(line -> line.contains("20-models.yaml: models[0].size: '14G' is not a size"))
                .anyMatch(line -> line.contains("30-models.yaml: models[0].version: clashes with 20-models.yaml"))
                .anyMatch(line -> line.contains("50-broken.yaml: is not YAML"));
        assertThat(result.output()).isEmpty();
    }

    @Test
    void invalid_settings_end_the_process_with_one_line_for_each_flag_or_variable() throws Exception {
        ProcessBuilder builder = new ProcessBuilder(Stream.concat(
                        BinaryUnderTest.command().stream(),
                        Stream.of("node", "--node-id", "n", "--zone", "z", "--listen", "here"))
                .toList());
        builder.environment().put("POPLARWHARF_LEASE", "3x");
        builder.environment().put("POPLARWHARF_LOG", "127.0.0.1:1");
        builder.environment().put("POPLARWHARF_VM_LIST", "127.0.0.1:2");
        Process process = builder.redirectErrorStream(true).start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertThat(process.waitFor()).isEqualTo(2);
        assertThat(output.lines())
                .containsExactlyInAnyOrder(
                        "poplarwharf node: --listen: 'here' is not an address; write host:port.",
                        "poplarwharf node: POPLARWHARF_LEASE: '3x' is not a duration; write 500ms, 3s or 2m.");
    }

    @Test
    void commands_that_cannot_connect_report_it_in_one_line() {
        PoplarProcess.ExitResult status = cluster.runCommand("status", "--admin", "127.0.0.1:1", "--token", "t");
        assertThat(status.exitCode()).isEqualTo(1);
        assertThat(status.errors().lines()).singleElement().asString().contains("target-unreachable");
        PoplarProcess.ExitResult show =
                cluster.runCommand("config", "show", "--log", "127.0.0.1:1", "--timeout", "500ms");
        assertThat(show.exitCode()).isEqualTo(1);
        assertThat(show.errors().lines()).singleElement().asString().contains("log-unavailable");
    }

    private static Path writeFiles(Map<String, String> contents) throws IOException {
        Path directory = Files.createTempDirectory(folder, "configuration");
        for (Map.Entry<String, String> file : contents.entrySet()) {
            Files.writeString(directory.resolve(file.getKey()), file.getValue());
        }
        return directory;
    }
}
