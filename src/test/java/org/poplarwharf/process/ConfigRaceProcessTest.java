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
 * Operators publish conflicting files at once while a node is cut off; nodes restart and the log drops old records.
 */
class ConfigRaceProcessTest {
    private static final String MODEL = "m";
    private static final long IN_FORCE_MILLIS = 4_000;
    private static final long NO_VERSION = -1;
    private static final long RETENTION_MILLIS = 12_000;

    @TempDir
    private Path folder;

    private static FleetFile version(String version) {
        return FleetFile.of("5s", List.of(new FleetFile.Model(MODEL, version, 1, List.of())));
    }

    private static long versionAt(FaultFleet fleet, String node) {
        return fleet.status(node)
                .map(status -> status.path("configVersion").asLong(NO_VERSION))
                .orElse(NO_VERSION);
    }

    private static void awaitEverywhere(FaultFleet fleet, long version) {
        fleet.liveNodes()
                .forEach(node -> eventually(node + " has version " + version, () -> versionAt(fleet, node) == version));
    }

    /** Publishes by all operators at once; one alone must win. Returns its number among them. */
    private static int race(FaultFleet fleet, List<String> versions) {
        String base = Long.toString(acceptedVersion(fleet));
        List<CompletableFuture<PoplarProcess.Ended>> published = new ArrayList<>();
        for (String version : versions) {
            published.add(CompletableFuture.supplyAsync(
                    () -> fleet.publishUnchecked(version(version), "op-" + version, "--base", base)));
        }
        List<PoplarProcess.Ended> ended =
                published.stream().map(CompletableFuture::join).toList();
        List<Integer> winners = new ArrayList<>();
        for (int i = 0; i < ended.size(); i++) {
            if (ended.get(i).exitCode() == 0) {
                winners.add(i);
            } else {
                assertThat(ended.get(i).errors()).contains("refused");
            }
        }
        assertThat(winners).describedAs(ended.toString()).hasSize(1);
        return winners.get(0);
    }

    /** The versions of the model that engines were told to load. */
    private static Set<String> loadedVersions(FaultFleet fleet) {
        return Set.copyOf(fleet.journals().values().stream()
                .flatMap(List::stream)
                .filter(entry -> entry.event() instanceof EngineEvent.StateChanged)
                .map(entry -> ((EngineEvent.StateChanged) entry.event()).version())
                .toList());
    }

    private static void cut(FaultFleet fleet, String node, LinkFaults faults) {
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

    private static long acceptedVersion(PoplarProcess.Ended shown) {
        return shown.output()
                .lines()
                .filter(line -> line.startsWith("version:"))
                .map(line -> Long.parseLong(line.substring("version:".length()).strip()))
                .findFirst()
                .orElse(NO_VERSION);
    }

    private static long acceptedVersion(FaultFleet fleet) {
        String log = fleet.cluster().process("log").listening().address();
        return acceptedVersion(fleet.cluster().run("config", "show", "--log", log));
    }

    @Test
    void racing_operators_get_one_verdict_that_is_in_force_everywhere_and_never_reverts() {
        ClusterSettings settings =
                FaultFleet.settings(3, 2, 1).withLogOptions(List.of("--retention=" + RETENTION_MILLIS + "ms"));
        settings = settings.withNodeOptions(withRetention(settings.nodeOptions()));
        try (FaultFleet fleet = FaultFleet.start(folder, settings, version("v0"))) {
            fleet.awaitAnswer("n1", MODEL);
            cut(fleet, "n3", LinkFaults.silent());
            List<String> versions = List.of("va", "vb", "vc");
            String winner = versions.get(race(fleet, versions));
            long accepted = acceptedVersion(fleet);
            assertThat(accepted).isPositive();
            awaitEverywhereBut(fleet, "n3", accepted);

            cut(fleet, "n3", LinkFaults.none());
            long healedMillis = fleet.nowMillis();
            awaitEverywhere(fleet, accepted);
            assertThat(fleet.nowMillis() - healedMillis).isLessThan(IN_FORCE_MILLIS);

            for (String node : fleet.cluster().nodeNames()) {
                fleet.awaitAnswer(node, MODEL);
            }
            assertThat(loadedVersions(fleet)).containsExactlyInAnyOrder("v0", winner);
            long racedMillis = fleet.nowMillis();
            restartEach(fleet, accepted);
            eventually("the log has dropped the race", () -> fleet.nowMillis() > racedMillis + RETENTION_MILLIS);
            restartEach(fleet, accepted);
            twoRaceAfterRetention(fleet, accepted);
        }
    }

    private static List<String> withRetention(List<String> options) {
        List<String> all = new ArrayList<>(options);
        all.add("--log-retention=10s");
        all.add("--key-validity=5s");
        return all;
    }

    private static void awaitEverywhereBut(FaultFleet fleet, String cutOff, long version) {
        fleet.liveNodes().stream()
                .filter(node -> !node.equals(cutOff))
                .forEach(node -> eventually(node + " has version " + version, () -> versionAt(fleet, node) == version));
    }

    /** A restarted node is not ready before it has the version in force, also while the log is down. */
    private static void restartEach(FaultFleet fleet, long accepted) {
        for (String node : fleet.cluster().nodeNames()) {
            fleet.cluster().process(node).kill();
            boolean logDown = node.equals("n2");
            if (logDown) {
                fleet.cluster().setFaults("log", LogFaults.outage());
            }
            fleet.cluster().startNode(node).listening();
            eventually(node + " is ready", () -> {
                JsonNode status = fleet.status(node).orElse(null);
                if (status == null || !status.path("ready").asBoolean()) {
                    return false;
                }
                assertThat(status.path("configVersion").asLong()).isEqualTo(accepted);
                return true;
            });
            fleet.cluster().setFaults("log", LogFaults.none());
            fleet.awaitAnswer(node, MODEL);
        }
        awaitEverywhere(fleet, accepted);
    }

    /** By now the log has dropped the records of the first files. */
    private static void twoRaceAfterRetention(FaultFleet fleet, long before) {
        List<String> versions = List.of("vd", "ve");
        String winner = versions.get(race(fleet, versions));
        long accepted = acceptedVersion(fleet);
        assertThat(accepted).isGreaterThan(before);
        awaitEverywhere(fleet, accepted);
        eventually("the winner is loaded", () -> {
            fleet.ask("n1", MODEL).join();
            return loadedVersions(fleet).contains(winner);
        });
        assertThat(loadedVersions(fleet)).doesNotContain(versions.get(1 - versions.indexOf(winner)));
    }
}
