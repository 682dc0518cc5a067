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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.poplarwharf.internal.standin.EngineEvent;
import org.poplarwharf.internal.standin.LogFaults;
import org.poplarwharf.internal.standin.VmListFaults;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.VmList.Vm;
import org.poplarwharf.plugins.VmList.VmState;

/**
 * VMs are reclaimed in the middle of a load, targets leave, the list of VMs lags, and first requests come in bursts.
 */
class TargetFaultProcessTest {
    private static final int BURST = 200;
    private static final long DEADLINE_MILLIS = 8_000;
    private static final long LATE_MILLIS = 1_000;
    private static final long LAG_MILLIS = 6_000;

    @TempDir
    private static Path folder;

    private static FaultFleet fleet;
    private static FleetFile file;

    @BeforeAll
    static void start() {
        List<FleetFile.Model> models = List.of(
                new FleetFile.Model("burst", "v1", 1, List.of()),
                new FleetFile.Model("pair", "v1", 2, List.of()),
                new FleetFile.Model("reclaimed-f", "v1", 1, List.of("e1", "e2")),
                new FleetFile.Model("reclaimed-p", "v1", 1, List.of("e3", "e4")),
                new FleetFile.Model("staying", "v1", 1, List.of()),
                new FleetFile.Model("orphan", "v1", 1, List.of()),
                new FleetFile.Model("shrinking", "v1", 2, List.of()));
        file = FleetFile.of("8s", models);
        fleet = FaultFleet.start(folder, FaultFleet.settings(3, 4, 2), file);
    }

    /** Ends every fault that a test may have left behind. */
    @AfterEach
    void heal() {
        Cluster cluster = fleet.cluster();
        cluster.setFaults("log", LogFaults.none());
        cluster.setFaults("vms", new VmListFaults(false, 0));
        for (String engine : cluster.engineNames()) {
            if (fleet.vm(engine).state() == VmState.LEAVING) {
                fleet.mark(engine, VmState.LIVE);
            }
        }
        for (String node : cluster.nodeNames()) {
            if (!cluster.process(node).isAlive()) {
                cluster.startNode(node).listening();
                fleet.awaitReady(node);
            }
        }
    }

    @AfterAll
    static void stop() {
        fleet.close();
    }

    private static List<FaultFleet.Answered> burst(String model) {
        List<CompletableFuture<FaultFleet.Answered>> asked = new ArrayList<>();
        List<String> nodes = fleet.cluster().nodeNames();
        for (int i = 0; i < BURST; i++) {
            asked.add(fleet.ask(nodes.get(i % nodes.size()), model));
        }
        return asked.stream().map(CompletableFuture::join).toList();
    }

    @Test
    void two_hundred_first_requests_at_all_nodes_cause_one_load_a_replica() {
        for (String model : List.of("burst", "pair")) {
            List<FaultFleet.Answered> answers = burst(model);

            assertThat(answers).allMatch(answer -> answer.status() != 0);
            assertThat(answers).allMatch(answer -> answer.tookMillis() < DEADLINE_MILLIS + LATE_MILLIS);
            assertThat(answers).anyMatch(answer -> answer.status() == 200);
            assertThat(fleet.loads(model)).isBetween(1L, model.equals("pair") ? 2L : 1L);
        }
        fleet.check();
    }

    private static String engineOf(String model) {
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

    /** The VM dies; the list tells it late; then another VM comes up under the old address. */
    @Test
    void a_vm_reclaimed_in_the_middle_of_a_load_costs_time_and_no_second_replica() {
        for (String model : List.of("reclaimed-f", "reclaimed-p")) {
            fleet.ask("n1", model);
            String engine = engineOf(model);
            fleet.cluster().setFaults("vms", new VmListFaults(false, LAG_MILLIS));
            fleet.killEngine(engine);
            fleet.changeVms(vms -> vms.removeIf(vm -> vm.name().equals(engine)));
            fleet.awaitAnswer("n2", model);

            fleet.cluster().restartEngine(engine).listening();
            String address = fleet.cluster().linkToAny(engine);
            fleet.changeVms(vms -> vms.add(new Vm("vm2-" + engine, engine, address, "z1", VmState.LIVE)));
            fleet.cluster().setFaults("vms", new VmListFaults(false, 0));
            fleet.awaitAnswer("n3", model);
            fleet.check();
        }
    }

    private static List<FaultFleet.Answered> askPastLeaving(String model, List<String> nodes) {
        List<FaultFleet.Answered> answers = new ArrayList<>();
        long endMillis = fleet.nowMillis() + FleetInvariants.LEAVING_MILLIS + LATE_MILLIS;
        while (fleet.nowMillis() < endMillis) {
            nodes.forEach(node -> answers.add(fleet.ask(node, model).join()));
        }
        return answers;
    }

    @Test
    void a_leaving_target_begins_no_request_after_five_seconds_and_its_model_moves() {
        fleet.awaitAnswer("n1", "staying");
        String engine = engineOf("staying");
        fleet.mark(engine, VmState.LEAVING);

        List<FaultFleet.Answered> answers =
                askPastLeaving("staying", fleet.cluster().nodeNames());
        assertThat(answers.stream().filter(answer -> answer.status() != 200)).isEmpty();
        fleet.check();
    }

    @Test
    void a_leaving_target_begins_no_request_while_the_log_is_down_and_the_holder_dead() {
        fleet.awaitAnswer("n1", "orphan");
        String engine = engineOf("orphan");
        String holder = fleet.holder();
        fleet.cluster().setFaults("log", LogFaults.outage());
        fleet.cluster().process(holder).kill();
        fleet.mark(engine, VmState.LEAVING);

        askPastLeaving("orphan", fleet.liveNodes());
        fleet.check();
    }

    @Test
    void fewer_replicas_are_held_within_four_seconds_of_a_new_file() {
        fleet.awaitAnswer("n1", "shrinking");
        eventually("a second replica is loaded", () -> {
            burst("shrinking");
            return fleet.loads("shrinking") == 2;
        });
        fleet.publish(file.withReplicas("shrinking", 1));

        long endMillis = fleet.nowMillis() + FleetInvariants.CONFIGURATION_MILLIS + LATE_MILLIS;
        while (fleet.nowMillis() < endMillis) {
            assertThat(fleet.ask("n2", "shrinking").join().status()).isEqualTo(200);
        }
        fleet.check();
        assertThat(fleet.loads("shrinking")).isEqualTo(2);
    }
}
