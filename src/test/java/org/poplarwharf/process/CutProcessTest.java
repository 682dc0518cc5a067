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
 * Links between a holder and the log, the targets or its peers are cut, and the log is down, slow or loses answers.
 */
class CutProcessTest {
    private static final String WARM = "warm";
    private static final int COLD_MODELS = 24;

    /** The deadline of a request and the time that its refusal may take to arrive. */
    private static final long IN_TIME_MILLIS = 4_000 + 1_000;

    private static final long LEASE_MILLIS = 1_000;

    @TempDir
    private static Path folder;

    private static FaultFleet fleet;
    private static int coldModels;

    @BeforeAll
    static void start() {
        List<FleetFile.Model> models = new ArrayList<>();
        models.add(new FleetFile.Model(WARM, "v1", 1, List.of()));
        IntStream.range(0, COLD_MODELS).forEach(i -> models.add(new FleetFile.Model("cold-" + i, "v1", 1, List.of())));
        fleet = FaultFleet.start(folder, FaultFleet.settings(3, 4, 2), FleetFile.of("4s", models));
    }

    @AfterAll
    static void stop() {
        fleet.close();
    }

    /** Ends every fault that a test may have left behind. */
    private static void heal() {
        Cluster cluster = fleet.cluster();
        cluster.setFaults("log", LogFaults.none());
        cluster.nodeNames().forEach(node -> cluster.setLink(node, "log", LinkFaults.none()));
        cluster.engineNames().forEach(engine -> cluster.setLink("any", engine, LinkFaults.none()));
        cutPeers(LinkFaults.none());
        for (String node : cluster.nodeNames()) {
            if (!cluster.process(node).isAlive()) {
                cluster.startNode(node);
                fleet.awaitReady(node);
            }
        }
    }

    /** After each fault every node serves warm and cold models again, and no rule was broken. */
    @AfterEach
    void recovers() {
        heal();
        for (String node : fleet.cluster().nodeNames()) {
            fleet.awaitAnswer(node, WARM);
            fleet.awaitAnswer(node, cold());
        }
        fleet.check();
    }

    private static String cold() {
        return "cold-" + coldModels++ % COLD_MODELS;
    }

    private static void cutPeers(LinkFaults faults) {
        for (String from : fleet.cluster().nodeNames()) {
            fleet.cluster().setLink("any", from, faults);
            fleet.cluster().nodeNames().stream()
                    .filter(to -> !to.equals(from))
                    .forEach(to -> fleet.cluster().setLink(from, to, faults));
        }
    }

    /** Asks for a model at each node, again and again for a while; every request must end in time. */
    private static List<FaultFleet.Answered> askFor(long millis, String model, List<String> nodes) {
        List<FaultFleet.Answered> answers = new ArrayList<>();
        long endMillis = fleet.nowMillis() + millis;
        while (fleet.nowMillis() < endMillis) {
            List<CompletableFuture<FaultFleet.Answered>> asked =
                    nodes.stream().map(node -> fleet.ask(node, model)).toList();
            asked.forEach(answer -> answers.add(answer.join()));
        }
        assertThat(answers).allMatch(answer -> answer.status() != 0 && answer.tookMillis() < IN_TIME_MILLIS);
        return answers;
    }

    private static void assertAllAnswered(List<FaultFleet.Answered> answers) {
        assertThat(answers).isNotEmpty().allMatch(answer -> answer.status() == 200);
    }

    private void cutFromLog(LinkFaults faults) {
        fleet.awaitAnswer("n1", WARM);
        String holder = fleet.holder();
        String witness = fleet.nodeBeside(holder);
        fleet.cluster().setLink(holder, "log", faults);

        fleet.awaitTakeover(witness, holder);
        assertAllAnswered(askFor(LEASE_MILLIS, WARM, List.of(witness)));
        fleet.awaitAnswer(witness, cold());
        askFor(LEASE_MILLIS, cold(), List.of(holder));
    }

    @Test
    void a_holder_cut_from_the_log_alone_is_replaced() {
        cutFromLog(LinkFaults.silent());
    }

    @Test
    void a_holder_whose_appends_are_lost_is_replaced() {
        cutFromLog(LinkFaults.silentToUpstream());
    }

    @Test
    void a_holder_that_hears_nothing_from_the_log_is_replaced() {
        cutFromLog(LinkFaults.silentToClient());
    }

    @Test
    void while_targets_are_cut_off_every_request_ends_in_time() {
        fleet.awaitAnswer("n1", WARM);
        fleet.cluster().engineNames().forEach(engine -> fleet.cluster().setLink("any", engine, LinkFaults.silent()));

        askFor(LEASE_MILLIS, WARM, fleet.cluster().nodeNames());
        askFor(LEASE_MILLIS, cold(), fleet.cluster().nodeNames());
    }

    @Test
    void nodes_cut_from_each_other_serve_what_is_warm() {
        fleet.awaitAnswer("n1", WARM);
        String holder = fleet.holder();
        cutPeers(LinkFaults.silent());

        askFor(2 * LEASE_MILLIS, WARM, fleet.cluster().nodeNames());
        assertAllAnswered(askFor(LEASE_MILLIS, WARM, fleet.cluster().nodeNames()));
        assertAllAnswered(askFor(LEASE_MILLIS, cold(), List.of(holder)));
    }

    @Test
    void answers_of_the_log_that_are_lost_after_their_effect_double_no_load() {
        String holder = fleet.holder();
        fleet.cluster().setFaults("log", new LogFaults(false, false, 0, 0, 0.5, true));
        for (int i = 0; i < 3; i++) {
            String model = cold();
            long before = fleet.loads(model);
            fleet.awaitAnswer(fleet.nodeBeside(holder), model);
            assertThat(fleet.loads(model) - before).isLessThanOrEqualTo(1);
        }
    }

    @Test
    void warm_requests_go_on_while_the_log_is_down_and_the_holder_dies() {
        fleet.awaitAnswer("n1", WARM);
        String holder = fleet.holder();
        fleet.cluster().setFaults("log", LogFaults.outage());
        assertAllAnswered(askFor(2 * LEASE_MILLIS, WARM, fleet.cluster().nodeNames()));

        fleet.cluster().process(holder).kill();
        askFor(LEASE_MILLIS, WARM, fleet.liveNodes());
        assertAllAnswered(askFor(4 * LEASE_MILLIS, WARM, fleet.liveNodes()));
        askFor(LEASE_MILLIS, cold(), fleet.liveNodes());

        fleet.cluster().setFaults("log", LogFaults.none());
        fleet.awaitTakeover(fleet.nodeBeside(holder), holder);
        fleet.cluster().startNode(holder);
        fleet.awaitReady(holder);
    }

    @Test
    void a_log_slower_than_the_lease_harms_no_warm_request() {
        fleet.awaitAnswer("n1", WARM);
        fleet.cluster().setFaults("log", new LogFaults(false, false, 2 * LEASE_MILLIS, 0, 0, false));

        assertAllAnswered(askFor(4 * LEASE_MILLIS, WARM, fleet.cluster().nodeNames()));
        askFor(LEASE_MILLIS, cold(), fleet.cluster().nodeNames());
    }
}
