package org.poplarwharf.process;

import static org.assertj.core.api.Assertions.assertThat;
import static org.poplarwharf.support.Eventually.eventually;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.poplarwharf.internal.standin.EngineEvent;
import org.poplarwharf.internal.standin.LinkFaults;
import org.poplarwharf.internal.standin.LogFaults;

/**
 * Several operators publish conflicting configurations concurrently while one node is partitioned. Then nodes restart, also
 * after the log has dropped the records of the race.
 */
class ConfigRaceProcessTest {
    private static final String MODEL = "m";
    private static final long CONFIG_PROPAGATION_LIMIT_MILLIS = 4_000;
    private static final long NO_VERSION = -1;
    private static final long RETENTION_MILLIS = 12_000;

    @TempDir
    private Path folder;

    private static FleetConfigFile configWithVersion(String version) {
        return FleetConfigFile.of("5s", List.of(new FleetConfigFile.Model(MODEL, version, 1, List.of())));
    }

    private static long configVersionAt(CheckedFleet fleet, String node) {
        return fleet.status(node)
                .map(status -> status.path("configVersion").asLong(NO_VERSION))
                .orElse(NO_VERSION);
    }

    private static void awaitEverywhere(CheckedFleet fleet, long version) {
        fleet.liveNodes()
                .forEach(node ->
                        eventually(node + " has version " + version, () -> configVersionAt(fleet, node) == version));
    }

    /** Publishes all versions concurrently, checks that exactly one is accepted, and returns its index. */
    private static int publishConcurrently(CheckedFleet fleet, List<String> versions) {
        String base = Long.toString(acceptedVersion(fleet));
        List<CompletableFuture<PoplarProcess.ExitResult>> published = new ArrayList<>();
        for (String version : versions) {
            published.add(CompletableFuture.supplyAsync(
                    () -> fleet.publishUnchecked(configWithVersion(version), "op-" + version, "--base", base)));
        }
        List<PoplarProcess.ExitResult> results =
                published.stream().map(CompletableFuture::join).toList();
        List<Integer> winnerIndexes = new ArrayList<>();
        for (int i = 0; i < results.size(); i++) {
            if (results.get(i).exitCode() == 0) {
                winnerIndexes.add(i);
            } else {
                assertThat(results.get(i).errors()).contains("refused");
            }
        }
        assertThat(winnerIndexes).describedAs(results.toString()).hasSize(1);
        return winnerIndexes.get(0);
    }

    /** Returns the versions of the model that engines were ordered to load. */
    private static Set<String> loadedVersions(CheckedFleet fleet) {
        return Set.copyOf(fleet.journals().values().stream()
                .flatMap(List::stream)
                .filter(entry -> entry.event() instanceof EngineEvent.StateChanged)
                .map(entry -> ((EngineEvent.StateChanged) entry.event()).version())
                .toList());
    }

    private static void setNodeLinks(CheckedFleet fleet, String node, LinkFaults faults) {
        Cluster cluster = fleet.cluster();
        cluster.setLink(node, "log", faults);
        cluster.setLink("any", node, faults);
        for (String other : cluster.nodeNames()) {
            if (!other.equals(node)) {
                cluster.setLink(node, other, faults);
                cluster.setLink(other, node, faults);
            }
        }
    }

    private static long acceptedVersion(PoplarProcess.ExitResult shown) {
        return shown.output()
                .lines()
                .filter(line -> line.startsWith("version:"))
                .map(line -> Long.parseLong(line.substring("version:".length()).strip()))
                .findFirst()
                .orElse(NO_VERSION);
    }

    private static long acceptedVersion(CheckedFleet fleet) {
        String log = fleet.cluster().process("log").awaitListening().address();
        return acceptedVersion(fleet.cluster().runCommand("config", "show", "--log", log));
    }

    @Test
    void one_of_several_racing_operators_wins_on_all_nodes_and_is_never_reverted() {
        ClusterSettings settings =
                CheckedFleet.settings(3, 2, 1).withLogOptions(List.of("--retention=" + RETENTION_MILLIS + "ms"));
        settings = settings.withNodeOptions(withRetention(settings.nodeOptions()));
        try (CheckedFleet fleet = CheckedFleet.start(folder, settings, configWithVersion("v0"))) {
            fleet.awaitSuccess("n1", MODEL);
            setNodeLinks(fleet, "n3", LinkFaults.silent());
            List<String> versions = List.of("va", "vb", "vc");
            String winner = versions.get(publishConcurrently(fleet, versions));
            long acceptedNumber = acceptedVersion(fleet);
            assertThat(acceptedNumber).isPositive();
            awaitEverywhereExcept(fleet, "n3", acceptedNumber);

            setNodeLinks(fleet, "n3", LinkFaults.none());
            long healedMillis = fleet.nowMillis();
            awaitEverywhere(fleet, acceptedNumber);
            assertThat(fleet.nowMillis() - healedMillis).isLessThan(CONFIG_PROPAGATION_LIMIT_MILLIS);

            for (String node : fleet.cluster().nodeNames()) {
                fleet.awaitSuccess(node, MODEL);
            }
            assertThat(loadedVersions(fleet)).containsExactlyInAnyOrder("v0", winner);
            long racedMillis = fleet.nowMillis();
            restartEachNode(fleet, acceptedNumber);
            eventually(
                    "the log has dropped the records of the race",
                    () -> fleet.nowMillis() > racedMillis + RETENTION_MILLIS);
            restartEachNode(fleet, acceptedNumber);
            publishConcurrentlyAfterRetention(fleet, acceptedNumber);
        }
    }

    private static List<String> withRetention(List<String> options) {
        List<String> all = new ArrayList<>(options);
        all.add("--log-retention=10s");
        all.add("--key-validity=5s");
        return all;
    }

    private static void awaitEverywhereExcept(CheckedFleet fleet, String isolatedNode, long version) {
        fleet.liveNodes().stream()
                .filter(node -> !node.equals(isolatedNode))
                .forEach(node ->
                        eventually(node + " has version " + version, () -> configVersionAt(fleet, node) == version));
    }

    /** Restarts each node and checks that it is not ready before it has the current version, also while the log is down. */
    private static void restartEachNode(CheckedFleet fleet, long acceptedNumber) {
        for (String node : fleet.cluster().nodeNames()) {
            fleet.cluster().process(node).kill();
            boolean logDown = node.equals("n2");
            if (logDown) {
                fleet.cluster().setFaults("log", LogFaults.outage());
            }
            fleet.cluster().startNode(node).awaitListening();
            eventually(node + " is ready", () -> {
                JsonNode status = fleet.status(node).orElse(null);
                if (status == null || !status.path("ready").asBoolean()) {
                    return false;
                }
                assertThat(status.path("configVersion").asLong()).isEqualTo(acceptedNumber);
                return true;
            });
            fleet.cluster().setFaults("log", LogFaults.none());
            fleet.awaitSuccess(node, MODEL);
        }
        awaitEverywhere(fleet, acceptedNumber);
    }

    /** Races two more operators after the log has dropped the records of the first configurations. */
    private static void publishConcurrentlyAfterRetention(CheckedFleet fleet, long previousNumber) {
        List<String> versions = List.of("vd", "ve");
        String winner = versions.get(publishConcurrently(fleet, versions));
        long acceptedNumber = acceptedVersion(fleet);
        assertThat(acceptedNumber).isGreaterThan(previousNumber);
        awaitEverywhere(fleet, acceptedNumber);
        eventually("the winner is loaded", () -> {
            fleet.sendRequest("n1", MODEL).join();
            return loadedVersions(fleet).contains(winner);
        });
        assertThat(loadedVersions(fleet)).doesNotContain(versions.get(1 - versions.indexOf(winner)));
    }
}
