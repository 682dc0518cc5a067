package org.poplarwharf.process;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.poplarwharf.support.Eventually.eventually;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.poplarwharf.internal.protocol.HttpEngineDialect;
import org.poplarwharf.internal.protocol.HttpEventLog;
import org.poplarwharf.internal.protocol.HttpVmList;
import org.poplarwharf.internal.standin.EngineEvent;
import org.poplarwharf.internal.standin.EngineFaults;
import org.poplarwharf.internal.standin.Journal;
import org.poplarwharf.internal.standin.LinkFaults;
import org.poplarwharf.internal.standin.TokenGenerator;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.EngineDialect;
import org.poplarwharf.plugins.VmList;
import org.poplarwharf.support.TestHttpClient;

class StandinProcessTest {
    private static final ArtifactId MODEL = ArtifactId.model("m");
    private static final String BODY = "{\"model\":\"m\",\"max_tokens\":3}";

    @TempDir
    private Path folder;

    private static void loadModel(Cluster cluster, EngineDialect dialect) {
        EngineDialect.Order order = new EngineDialect.Order(EngineDialect.OrderKind.LOAD, MODEL, "v1", 1_000_000, 1);
        String address = cluster.sharedLinkAddress("e1");
        assertThat(cluster.thread().await(() -> dialect.sendOrder(address, order)))
                .isEqualTo(new EngineDialect.OrderReply.Accepted());
        eventually(
                "the model is loaded",
                () -> cluster.thread().await(() -> dialect.report(address)).held().stream()
                        .anyMatch(held -> held.state() == EngineDialect.ArtifactState.LOADED));
    }

    private static List<EngineEvent> events(Cluster cluster) {
        return cluster.engineJournal("e1").stream().map(Journal.Entry::event).toList();
    }

    @Test
    void stand_ins_work_as_processes_behind_the_proxy() {
        try (Cluster cluster = Cluster.start(folder, ClusterSettings.of(2, 1).withZones(2))) {
            var thread = cluster.thread();
            HttpEventLog log = thread.call(() -> new HttpEventLog(thread.reactor(), cluster.linkAddress("n1", "log")));
            HttpVmList vms = thread.call(() -> new HttpVmList(thread.reactor(), cluster.linkAddress("n2", "vms")));
            EngineDialect dialect = thread.call(() -> new HttpEngineDialect(thread.reactor()));

            assertThat(thread.await(() -> log.append("s", new byte[] {7}))).isZero();
            assertThat(thread.await(vms::list)).isEqualTo(cluster.vms());
            assertThat(cluster.vms()).extracting(VmList.Vm::zone).containsExactly("z1", "z2", "z1", "z1");
            loadModel(cluster, dialect);
            String url = cluster.sharedLinkAddress("e1") + "/v1/chat/completions";
            assertThat(cluster.http().post(url, BODY).body())
                    .contains(TokenGenerator.text(BODY.getBytes(StandardCharsets.UTF_8), 0, 3));
            assertThat(cluster.http()
                            .post(cluster.sharedLinkAddress("service") + "/bonds", "x")
                            .status())
                    .isEqualTo(200);
            assertThat(cluster.serviceJournal()).hasSize(1);

            cluster.setLink("any", "e1", LinkFaults.refusing());
            assertThatThrownBy(() -> cluster.http().post(url, BODY)).isInstanceOf(Exception.class);
        }
    }

    @Test
    void a_crashing_request_ends_the_engine_process_and_its_journal_remains() {
        try (Cluster cluster = Cluster.start(folder, ClusterSettings.of(0, 1))) {
            EngineDialect dialect = cluster.thread()
                    .call(() -> new HttpEngineDialect(cluster.thread().reactor()));
            loadModel(cluster, dialect);
            cluster.setFaults("e1", EngineFaults.crashOn("poison"));
            String url = cluster.sharedLinkAddress("e1") + "/v1/chat/completions";

            assertThatThrownBy(() -> cluster.http().post(url, "{\"model\":\"m\",\"x\":\"poison\"}"))
                    .isInstanceOf(Exception.class);

            assertThat(cluster.process("e1").awaitExit()).isEqualTo(137);
            assertThat(events(cluster)).last().isInstanceOf(EngineEvent.RequestEnded.class);
            cluster.restartStandin("e1", List.of()).awaitListening();
            TestHttpClient.Response response = cluster.http().post(url, BODY);
            assertThat(response.status()).isEqualTo(404);
        }
    }

    @Test
    void processes_can_be_paused_resumed_terminated_and_killed() {
        try (PoplarProcess process = PoplarProcess.start(folder, "log", List.of("standin", "log"))) {
            process.awaitListening();
            process.pause();
            process.resume();
            process.terminate();
            assertThat(process.awaitExit()).isEqualTo(143);
        }
        try (PoplarProcess process = PoplarProcess.start(folder, "vms", List.of("standin", "vms"))) {
            process.awaitListening();
            process.kill();
            assertThat(process.isAlive()).isFalse();
        }
    }

    @Test
    void invalid_options_end_with_the_usage_exit_code_and_a_clear_message() {
        PoplarProcess.ExitResult result =
                PoplarProcess.run(folder, "bad", List.of("standin", "log", "--retention", "soon"));

        assertThat(result.exitCode()).isEqualTo(2);
        assertThat(result.errors()).contains("--retention", "'soon' is not a duration");
    }
}
