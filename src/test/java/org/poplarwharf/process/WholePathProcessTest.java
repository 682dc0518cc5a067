package org.poplarwharf.process;

import static org.assertj.core.api.Assertions.assertThat;
import static org.poplarwharf.support.Eventually.eventually;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.poplarwharf.internal.standin.EngineEvent;
import org.poplarwharf.internal.standin.TokenGenerator;
import org.poplarwharf.support.TestHttpClient;

class WholePathProcessTest {
    private static final String BODY =
            "{\"model\":\"m\",\"max_tokens\":5,\"messages\":" + "[{\"role\":\"user\",\"content\":\"cask 7\"}]}";
    private static final String[] EXPECTED_METRICS = {
        "poplarwharf_class_wait_millis_count{class=\"",
        "poplarwharf_tenant_wait_millis_count{tenant=\"",
        "poplarwharf_class_whole_request_millis_count{class=\"",
        "poplarwharf_tenant_whole_request_millis_count{tenant=\"",
        "poplarwharf_class_first_token_millis_count{class=\"",
        "poplarwharf_tenant_first_token_millis_count{tenant=\"",
        "poplarwharf_class_between_tokens_millis_count{class=\"",
        "poplarwharf_tenant_between_tokens_millis_count{tenant=\"",
        "poplarwharf_refusals_total{code=\"invalid-request\"} 1.0",
        "poplarwharf_lease_state{cell=\"main\"} 2.0",
        "poplarwharf_loads_total{outcome=\"ordered\"} 1.0",
        "poplarwharf_loads_total{outcome=\"loaded\"} 1.0",
        "poplarwharf_idle_accelerator_seconds{target=\"e",
        "poplarwharf_control_bytes_sent_total",
        "poplarwharf_control_bytes_received_total",
    };
    private static final String CONFIGURATION = """
            cells:
              - {name: main, zones: [z1]}
            targets:
              - {name: e1, kind: engine, address: "%s", zone: z1, memory: 40GiB, maxConcurrent: 8, fencing: true}
              - {name: e2, kind: engine, address: "%s", zone: z1, memory: 40GiB, maxConcurrent: 8, fencing: true}
              - {name: service, kind: service, address: "%s", zone: z1}
            models:
              - {name: m, version: v1, size: 1GiB, replicas: 1}
            services:
              - {name: ledger, targets: [service], nonRepeatable: [{method: POST, path: /entries}]}
            classes:
              - {name: interactive, deadline: 15s, priority: 50}
            tenants:
              - {name: staff, class: interactive}
            """;

    @TempDir
    private Path folder;

    private void publish(Cluster cluster) throws IOException {
        Path configuration = Files.createDirectory(folder.resolve("configuration"));
        String text = CONFIGURATION.formatted(
                cluster.sharedLinkAddress("e1"), cluster.sharedLinkAddress("e2"), cluster.sharedLinkAddress("service"));
        Files.writeString(configuration.resolve("10-all.yaml"), text);
        String log = cluster.process("log").awaitListening().address();
        PoplarProcess.ExitResult result =
                cluster.runCommand("config", "publish", "--log", log, configuration.toString());
        assertThat(result.exitCode()).describedAs(result.toString()).isZero();
    }

    @Test
    void a_request_to_any_node_gets_a_complete_response_from_one_replica() throws IOException {
        try (Cluster cluster = Cluster.start(folder, ClusterSettings.of(3, 2))) {
            publish(cluster);
            cluster.startNodes();
            for (String node : cluster.nodeNames()) {
                cluster.awaitOk(cluster.process(node).awaitListening().admin() + "/ready");
            }
            String expected = TokenGenerator.text(BODY.getBytes(StandardCharsets.UTF_8), 0, 5);
            for (String node : cluster.nodeNames()) {
                String url = cluster.process(node).awaitListening().listen() + "/v1/chat/completions";
                eventually(node + " responds", () -> {
                    TestHttpClient.Response response = cluster.http().postJson(url, BODY);
                    return response.status() == 200 && response.body().contains(expected);
                });
            }
            long loadCount = cluster.engineNames().stream()
                    .flatMap(engine -> cluster.engineJournal(engine).stream())
                    .filter(entry -> entry.event() instanceof EngineEvent.StateChanged change
                            && change.state() == EngineEvent.State.LOADED)
                    .count();
            assertThat(loadCount).isEqualTo(1);
            String url = cluster.process("n1").awaitListening().listen() + "/v1/chat/completions";
            String streamingBody = BODY.replace("{\"model\"", "{\"stream\":true,\"model\"");
            assertThat(cluster.http().postJson(url, streamingBody).body()).contains("[DONE]");
            assertThat(cluster.http().postJson(url, "{}").status()).isEqualTo(400);
            // A timer records the idle time, so its metric family exists only after the timer has found an idle target.
            eventually(
                    "every family is recorded",
                    () -> Stream.of(EXPECTED_METRICS).allMatch(metrics(cluster)::contains));
            assertThat(metrics(cluster)).contains(EXPECTED_METRICS);
        }
    }

    /** Returns the concatenated metrics pages of all nodes. */
    private static String metrics(Cluster cluster) {
        StringBuilder pages = new StringBuilder();
        for (String node : cluster.nodeNames()) {
            String url = "http://" + cluster.process(node).awaitListening().admin() + "/metrics";
            HttpRequest request = HttpRequest.get(url)
                    .withHeader(HttpHeaders.AUTHORIZATION, "Bearer " + Cluster.ADMIN_TOKEN)
                    .build();
            pages.append(cluster.http().send(request).body());
        }
        return pages.toString();
    }
}
