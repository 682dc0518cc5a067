package org.poplarwharf.process;

import static org.assertj.core.api.Assertions.assertThat;
import static org.poplarwharf.support.Eventually.eventually;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.poplarwharf.internal.standin.EngineEvent;
import org.poplarwharf.internal.standin.EngineEvent.State;

/** Moves the only replica of a model between two cells; both cells must never hold it at the same time. */
class ShareMoveProcessTest {
    private static final int MOVE_COUNT = 4;
    private static final String CONFIGURATION = """
            cells:
              - {name: west, zones: [z1]}
              - {name: east, zones: [z2]}
            targets:
              - {name: e1, kind: engine, address: "%s", zone: z1, memory: 40GiB, maxConcurrent: 8, fencing: true}
              - {name: e2, kind: engine, address: "%s", zone: z2, memory: 40GiB, maxConcurrent: 8, fencing: true}
            models:
              - {name: m, version: v1, size: 1GiB, replicas: 1, minReplicas: 1, targets: [%s]}
            classes:
              - {name: interactive, deadline: 15s, priority: 50}
            tenants:
              - {name: staff, class: interactive}
            """;

    @TempDir
    private Path folder;

    /** A state change of the model on one engine. */
    private record ModelStateChange(String engine, long atMillis, State state) {}

    @Test
    void a_replica_that_moves_to_another_cell_is_never_loaded_in_both() throws IOException {
        try (Cluster cluster = Cluster.start(folder, ClusterSettings.of(3, 2).withZones(2))) {
            publish(cluster, "e1");
            cluster.startNodes();
            eventually("e1 has loaded the model", () -> hasLoaded(cluster, "e1"));
            for (int move = 0; move < MOVE_COUNT; move++) {
                String next = move % 2 == 0 ? "e2" : "e1";
                publish(cluster, next);
                eventually(next + " has loaded the model", () -> hasLoaded(cluster, next));
            }

            assertThat(maxConcurrentHolders(stateChanges(cluster))).isEqualTo(1);
        }
    }

    private void publish(Cluster cluster, String target) throws IOException {
        Path configuration = Files.createDirectories(folder.resolve("configuration"));
        String text = CONFIGURATION.formatted(cluster.sharedLinkAddress("e1"), cluster.sharedLinkAddress("e2"), target);
        Files.writeString(configuration.resolve("10-all.yaml"), text);
        String log = cluster.process("log").awaitListening().address();
        PoplarProcess.ExitResult result =
                cluster.runCommand("config", "publish", "--log", log, configuration.toString());
        assertThat(result.exitCode()).describedAs(result.toString()).isZero();
    }

    private static List<ModelStateChange> stateChanges(Cluster cluster) {
        List<ModelStateChange> stateChanges = new ArrayList<>();
        for (String engine : cluster.engineNames()) {
            cluster.engineJournal(engine).forEach(entry -> {
                if (entry.event() instanceof EngineEvent.StateChanged change) {
                    stateChanges.add(new ModelStateChange(engine, entry.atMillis(), change.state()));
                }
            });
        }
        stateChanges.sort(Comparator.comparingLong(ModelStateChange::atMillis));
        return stateChanges;
    }

    private static boolean hasLoaded(Cluster cluster, String engine) {
        return stateChanges(cluster).stream()
                .filter(change -> change.engine().equals(engine))
                .reduce((earlier, later) -> later)
                .filter(change -> change.state() == State.LOADED)
                .isPresent();
    }

    private static int maxConcurrentHolders(List<ModelStateChange> stateChanges) {
        Set<String> holding = new HashSet<>();
        int max = 0;
        for (ModelStateChange change : stateChanges) {
            if (change.state() == State.ABSENT || change.state() == State.LOAD_FAILED) {
                holding.remove(change.engine());
            } else {
                holding.add(change.engine());
            }
            max = Math.max(max, holding.size());
        }
        return max;
    }
}
