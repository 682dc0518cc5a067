package org.poplarwharf.process;

import static org.assertj.core.api.Assertions.assertThat;
import static org.poplarwharf.support.Eventually.eventually;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.poplarwharf.internal.standin.EngineEvent;
import org.poplarwharf.internal.standin.LogFaults;
import org.poplarwharf.internal.standin.VmListFaults;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.VmList.Vm;
import org.poplarwharf.plugins.VmList.VmState;

/**
 * Reclaims VMs in the middle of a load, marks targets as leaving, delays the VM list and sends bursts of first requests.
 */
class TargetFaultProcessTest {
    private static final int BURST_REQUEST_COUNT = 200;
    private static final long DEADLINE_MILLIS = 8_000;
    private static final long MAX_LATENESS_MILLIS = 1_000;
    private static final long VM_LIST_DELAY_MILLIS = 6_000;

    @TempDir
    private static Path folder;

    private static CheckedFleet fleet;
    private static FleetConfigFile configFile;

    @BeforeAll
    static void start() {
        List<FleetConfigFile.Model> models = List.of(
                new FleetConfigFile.Model("burst", "v1", 1, List.of()),
                new FleetConfigFile.Model("pair", "v1", 2, List.of()),
                new FleetConfigFile.Model("reclaimed-f", "v1", 1, List.of("e1", "e2")),
                new FleetConfigFile.Model("reclaimed-p", "v1", 1, List.of("e3", "e4")),
                new FleetConfigFile.Model("staying", "v1", 1, List.of()),
                new FleetConfigFile.Model("orphan", "v1", 1, List.of()),
                new FleetConfigFile.Model("shrinking", "v1", 2, List.of()));
        configFile = FleetConfigFile.of("8s", models);
        fleet = CheckedFleet.start(folder, CheckedFleet.settings(3, 4, 2), configFile);
    }

    /** Removes all faults that a test may have left behind. */
    @AfterEach
    void removeFaults() {
        Cluster cluster = fleet.cluster();
        cluster.setFaults("log", LogFaults.none());
        cluster.setFaults("vms", new VmListFaults(false, 0));
        for (String engine : cluster.engineNames()) {
            if (fleet.vm(engine).state() == VmState.LEAVING) {
                fleet.setVmState(engine, VmState.LIVE);
            }
        }
        for (String node : cluster.nodeNames()) {
            if (!cluster.process(node).isAlive()) {
                cluster.startNode(node).awaitListening();
                fleet.awaitReady(node);
            }
        }
    }

    @AfterAll
    static void stop() {
        fleet.close();
    }

    private static List<CheckedFleet.RequestOutcome> sendBurst(String model) {
        List<CompletableFuture<CheckedFleet.RequestOutcome>> pending = new ArrayList<>();
        List<String> nodes = fleet.cluster().nodeNames();
        for (int i = 0; i < BURST_REQUEST_COUNT; i++) {
            pending.add(fleet.sendRequest(nodes.get(i % nodes.size()), model));
        }
        return pending.stream().map(CompletableFuture::join).toList();
    }

    @Test
    @Tag("known-red")
    void two_hundred_concurrent_first_requests_cause_one_load_per_replica() {
        for (String model : List.of("burst", "pair")) {
            List<CheckedFleet.RequestOutcome> outcomes = sendBurst(model);

            assertThat(outcomes).allMatch(outcome -> outcome.status() != 0);
            assertThat(outcomes).allMatch(outcome -> outcome.latencyMillis() < DEADLINE_MILLIS + MAX_LATENESS_MILLIS);
            assertThat(outcomes).as(fleet::trace).anyMatch(outcome -> outcome.status() == 200);
            assertThat(fleet.loadCount(model)).isBetween(1L, model.equals("pair") ? 2L : 1L);
        }
        fleet.assertNoViolations();
    }

    private static String awaitLoadingEngine(String model) {
        String[] engine = new String[1];
        eventually(model + " is being loaded", () -> {
            for (String name : fleet.cluster().engineNames()) {
                boolean loads = fleet.cluster().engineJournal(name).stream()
                        .anyMatch(entry -> entry.event() instanceof EngineEvent.StateChanged change
                                && change.artifact().equals(ArtifactId.model(model)));
                engine[0] = loads ? name : engine[0];
            }
            return engine[0] != null;
        });
        return engine[0];
    }

    /** Adds the outcome of the request that should cause the load, and each node's status, to the message of a failure. */
    private static String awaitLoadingEngine(String model, CompletableFuture<CheckedFleet.RequestOutcome> request) {
        try {
            return awaitLoadingEngine(model);
        } catch (AssertionError e) {
            throw new AssertionError("request: " + request.getNow(null) + "\n" + fleet.trace(), e);
        }
    }

    /** The VM dies, the VM list reports it with a delay, and then another VM starts at the same address. */
    @Test
    @Tag("known-red")
    void a_vm_reclaimed_in_the_middle_of_a_load_causes_no_second_replica() {
        for (String model : List.of("reclaimed-f", "reclaimed-p")) {
            String engine = awaitLoadingEngine(model, fleet.sendRequest("n1", model));
            fleet.cluster().setFaults("vms", new VmListFaults(false, VM_LIST_DELAY_MILLIS));
            fleet.killEngine(engine);
            fleet.updateVmList(vms -> vms.removeIf(vm -> vm.name().equals(engine)));
            fleet.awaitSuccess("n2", model);

            fleet.cluster().restartEngine(engine).awaitListening();
            String address = fleet.cluster().sharedLinkAddress(engine);
            fleet.updateVmList(vms -> vms.add(new Vm("vm2-" + engine, engine, address, "z1", VmState.LIVE)));
            fleet.cluster().setFaults("vms", new VmListFaults(false, 0));
            fleet.awaitSuccess("n3", model);
            fleet.assertNoViolations();
        }
    }

    private static List<CheckedFleet.RequestOutcome> sendPastLeavingGrace(String model, List<String> nodes) {
        List<CheckedFleet.RequestOutcome> outcomes = new ArrayList<>();
        long endMillis = fleet.nowMillis() + FleetInvariants.LEAVING_GRACE_MILLIS + MAX_LATENESS_MILLIS;
        while (fleet.nowMillis() < endMillis) {
            nodes.forEach(node -> outcomes.add(fleet.sendRequest(node, model).join()));
        }
        return outcomes;
    }

    @Test
    void a_leaving_target_starts_no_request_after_five_seconds_and_its_model_moves() {
        fleet.awaitSuccess("n1", "staying");
        String engine = awaitLoadingEngine("staying");
        fleet.setVmState(engine, VmState.LEAVING);

        List<CheckedFleet.RequestOutcome> outcomes =
                sendPastLeavingGrace("staying", fleet.cluster().nodeNames());
        assertThat(outcomes.stream().filter(outcome -> outcome.status() != 200)).isEmpty();
        fleet.assertNoViolations();
    }

    @Test
    void a_leaving_target_starts_no_request_while_the_log_is_down_and_the_holder_is_dead() {
        fleet.awaitSuccess("n1", "orphan");
        String engine = awaitLoadingEngine("orphan");
        String holder = fleet.awaitHolder();
        fleet.cluster().setFaults("log", LogFaults.outage());
        fleet.cluster().process(holder).kill();
        fleet.setVmState(engine, VmState.LEAVING);

        sendPastLeavingGrace("orphan", fleet.liveNodes());
        fleet.assertNoViolations();
    }

    @Test
    void a_lower_replica_count_takes_effect_within_four_seconds() {
        fleet.awaitSuccess("n1", "shrinking");
        eventually("a second replica is loaded", () -> {
            sendBurst("shrinking");
            return fleet.loadCount("shrinking") == 2;
        });
        fleet.publish(configFile.withReplicas("shrinking", 1));

        long endMillis = fleet.nowMillis() + FleetInvariants.CONFIG_PROPAGATION_LIMIT_MILLIS + MAX_LATENESS_MILLIS;
        while (fleet.nowMillis() < endMillis) {
            assertThat(fleet.sendRequest("n2", "shrinking").join().status()).isEqualTo(200);
        }
        fleet.assertNoViolations();
        assertThat(fleet.loadCount("shrinking")).isEqualTo(2);
    }
}
