package org.poplarwharf.process;

import static org.assertj.core.api.Assertions.assertThat;
import static org.poplarwharf.support.Eventually.eventually;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.poplarwharf.internal.standin.EngineEvent;
import org.poplarwharf.internal.standin.TokenSource;
import org.poplarwharf.support.TestHttp;

class WholePathProcessTest {
    private static final String BODY =
            "{\"model\":\"m\",\"max_tokens\":5,\"messages\":" + "[{\"role\":\"user\",\"content\":\"cask 7\"}]}";
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
        String text =
                CONFIGURATION.formatted(cluster.linkToAny("e1"), cluster.linkToAny("e2"), cluster.linkToAny("service"));
        Files.writeString(configuration.resolve("10-all.yaml"), text);
        String log = cluster.process("log").listening().address();
        PoplarProcess.Ended ended = cluster.run("config", "publish", "--log", log, configuration.toString());
        assertThat(ended.exitCode()).describedAs(ended.toString()).isZero();
    }

    @Test
    void a_request_through_any_node_is_answered_whole_from_one_replica() throws IOException {
        try (Cluster cluster = Cluster.start(folder, ClusterSettings.of(3, 2))) {
            publish(cluster);
            cluster.startNodes();
            for (String node : cluster.nodeNames()) {
                cluster.awaitOk(cluster.process(node).listening().admin() + "/ready");
            }
            String expected = TokenSource.text(BODY.getBytes(StandardCharsets.UTF_8), 0, 5);
            for (String node : cluster.nodeNames()) {
                String url = cluster.process(node).listening().listen() + "/v1/chat/completions";
                eventually(node + " answers", () -> {
                    TestHttp.Answer answer = cluster.http().postJson(url, BODY);
                    return answer.status() == 200 && answer.body().contains(expected);
                });
            }
            long loads = cluster.engineNames().stream()
                    .flatMap(engine -> cluster.engineJournal(engine).stream())
                    .filter(entry -> entry.event() instanceof EngineEvent.StateChanged change
                            && change.state() == EngineEvent.State.LOADED)
                    .count();
            assertThat(loads).isEqualTo(1);
        }
    }
}
