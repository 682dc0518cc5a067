package org.poplarwharf.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.poplarwharf.internal.standin.LinkFaults;
import org.poplarwharf.internal.standin.LogFaults;

/**
 * Partitions a lease holder from the log, the targets or its peers, and makes the log unavailable, slow or lossy.
 */
class CutProcessTest {
    private static final String WARM_MODEL = "warm";
    private static final int COLD_MODEL_COUNT = 24;

    /** The deadline of a request plus the time within which its rejection must arrive. */
    private static final long MAX_LATENCY_MILLIS = 4_000 + 1_000;

    private static final long LEASE_MILLIS = 1_000;

    @TempDir
    private static Path folder;

    private static CheckedFleet fleet;
    private static int coldModelsUsed;

    @BeforeAll
    static void start() {
        List<FleetConfigFile.Model> models = new ArrayList<>();
        models.add(new FleetConfigFile.Model(WARM_MODEL, "v1", 1, List.of()));
        IntStream.range(0, COLD_MODEL_COUNT)
                .forEach(i -> models.add(new FleetConfigFile.Model("cold-" + i, "v1", 1, List.of())));
        fleet = CheckedFleet.start(folder, CheckedFleet.settings(3, 4, 2), FleetConfigFile.of("4s", models));
    }

    @AfterAll
    static void stop() {
        fleet.close();
    }

    /** Removes all faults that a test may have left behind. */
    private static void removeFaults() {
        Cluster cluster = fleet.cluster();
        cluster.setFaults("log", LogFaults.none());
        cluster.nodeNames().forEach(node -> cluster.setLink(node, "log", LinkFaults.none()));
        cluster.engineNames().forEach(engine -> cluster.setLink("any", engine, LinkFaults.none()));
        setPeerLinks(LinkFaults.none());
        for (String node : cluster.nodeNames()) {
            if (!cluster.process(node).isAlive()) {
                cluster.startNode(node);
                fleet.awaitReady(node);
            }
        }
    }

    /** Checks after each test that all nodes serve warm and cold models again and that no invariant was violated. */
    @AfterEach
    void allNodesRecover() {
        removeFaults();
        for (String node : fleet.cluster().nodeNames()) {
            fleet.awaitSuccess(node, WARM_MODEL);
            fleet.awaitSuccess(node, nextColdModel());
        }
        fleet.assertNoViolations();
    }

    private static String nextColdModel() {
        return "cold-" + coldModelsUsed++ % COLD_MODEL_COUNT;
    }

    private static void setPeerLinks(LinkFaults faults) {
        for (String from : fleet.cluster().nodeNames()) {
            fleet.cluster().setLink("any", from, faults);
            fleet.cluster().nodeNames().stream()
                    .filter(to -> !to.equals(from))
                    .forEach(to -> fleet.cluster().setLink(from, to, faults));
        }
    }

    /** Sends requests for a model to each node for a time, and checks that every request ends in time. */
    private static List<CheckedFleet.RequestOutcome> sendFor(long millis, String model, List<String> nodes) {
        List<CheckedFleet.RequestOutcome> outcomes = new ArrayList<>();
        long endMillis = fleet.nowMillis() + millis;
        while (fleet.nowMillis() < endMillis) {
            List<CompletableFuture<CheckedFleet.RequestOutcome>> pending =
                    nodes.stream().map(node -> fleet.sendRequest(node, model)).toList();
            pending.forEach(outcome -> outcomes.add(outcome.join()));
        }
        assertThat(outcomes).allMatch(outcome -> outcome.status() != 0 && outcome.latencyMillis() < MAX_LATENCY_MILLIS);
        return outcomes;
    }

    private static void assertAllSucceeded(List<CheckedFleet.RequestOutcome> outcomes) {
        assertThat(outcomes).isNotEmpty().allMatch(outcome -> outcome.status() == 200);
    }

    private void isolateHolderFromLog(LinkFaults faults) {
        fleet.awaitSuccess("n1", WARM_MODEL);
        String holder = fleet.awaitHolder();
        String observer = fleet.otherLiveNode(holder);
        fleet.cluster().setLink(holder, "log", faults);

        fleet.awaitTakeover(observer, holder);
        assertAllSucceeded(sendFor(LEASE_MILLIS, WARM_MODEL, List.of(observer)));
        fleet.awaitSuccess(observer, nextColdModel());
        sendFor(LEASE_MILLIS, nextColdModel(), List.of(holder));
    }

    @Test
    void a_holder_partitioned_from_the_log_only_is_replaced() {
        isolateHolderFromLog(LinkFaults.silent());
    }

    @Test
    void a_holder_whose_appends_are_lost_is_replaced() {
        isolateHolderFromLog(LinkFaults.silentToUpstream());
    }

    @Test
    void a_holder_that_receives_nothing_from_the_log_is_replaced() {
        isolateHolderFromLog(LinkFaults.silentToClient());
    }

    @Test
    void every_request_ends_in_time_while_targets_are_unreachable() {
        fleet.awaitSuccess("n1", WARM_MODEL);
        fleet.cluster().engineNames().forEach(engine -> fleet.cluster().setLink("any", engine, LinkFaults.silent()));

        sendFor(LEASE_MILLIS, WARM_MODEL, fleet.cluster().nodeNames());
        sendFor(LEASE_MILLIS, nextColdModel(), fleet.cluster().nodeNames());
    }

    @Test
    void nodes_partitioned_from_each_other_serve_warm_models() {
        fleet.awaitSuccess("n1", WARM_MODEL);
        String holder = fleet.awaitHolder();
        setPeerLinks(LinkFaults.silent());

        sendFor(2 * LEASE_MILLIS, WARM_MODEL, fleet.cluster().nodeNames());
        assertAllSucceeded(sendFor(LEASE_MILLIS, WARM_MODEL, fleet.cluster().nodeNames()));
        assertAllSucceeded(sendFor(LEASE_MILLIS, nextColdModel(), List.of(holder)));
    }

    @Test
    void log_responses_lost_after_their_effect_cause_no_second_load() {
        String holder = fleet.awaitHolder();
        fleet.cluster().setFaults("log", new LogFaults(false, false, 0, 0, 0.5, true));
        for (int i = 0; i < 3; i++) {
            String model = nextColdModel();
            long loadsBefore = fleet.loadCount(model);
            fleet.awaitSuccess(fleet.otherLiveNode(holder), model);
            assertThat(fleet.loadCount(model) - loadsBefore).isLessThanOrEqualTo(1);
        }
    }

    @Test
    void warm_models_are_served_while_the_log_is_down_and_the_holder_dies() {
        fleet.awaitSuccess("n1", WARM_MODEL);
        String holder = fleet.awaitHolder();
        fleet.cluster().setFaults("log", LogFaults.outage());
        assertAllSucceeded(sendFor(2 * LEASE_MILLIS, WARM_MODEL, fleet.cluster().nodeNames()));

        fleet.cluster().process(holder).kill();
        sendFor(LEASE_MILLIS, WARM_MODEL, fleet.liveNodes());
        assertAllSucceeded(sendFor(4 * LEASE_MILLIS, WARM_MODEL, fleet.liveNodes()));
        sendFor(LEASE_MILLIS, nextColdModel(), fleet.liveNodes());

        fleet.cluster().setFaults("log", LogFaults.none());
        fleet.awaitTakeover(fleet.otherLiveNode(holder), holder);
        fleet.cluster().startNode(holder);
        fleet.awaitReady(holder);
    }

    @Test
    void warm_models_are_served_while_the_log_is_slower_than_the_lease() {
        fleet.awaitSuccess("n1", WARM_MODEL);
        fleet.cluster().setFaults("log", new LogFaults(false, false, 2 * LEASE_MILLIS, 0, 0, false));

        assertAllSucceeded(sendFor(4 * LEASE_MILLIS, WARM_MODEL, fleet.cluster().nodeNames()));
        sendFor(LEASE_MILLIS, nextColdModel(), fleet.cluster().nodeNames());
    }
}
