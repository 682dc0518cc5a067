package org.poplarwharf.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class NodeProcessTest {
    @TempDir
    private Path folder;

    @Test
    @Tag("known-red")
    void nodes_start_behind_the_proxy_and_exit_with_zero_when_terminated() {
        try (Cluster cluster = Cluster.start(folder, ClusterSettings.of(3, 1).withZones(3))) {
            cluster.startNodes();
            for (String node : cluster.nodeNames()) {
                cluster.awaitOk(cluster.process(node).awaitListening().admin() + "/health");
            }

            cluster.nodeNames().forEach(node -> cluster.process(node).terminate());

            for (String node : cluster.nodeNames()) {
                assertThat(cluster.process(node).awaitExit())
                        .describedAs(cluster.process(node).errorOutput())
                        .isZero();
            }
        }
    }
}
