package org.poplarwharf.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.poplarwharf.internal.standin.LogFaults;

/** Repeatable requests and calls that may not be repeated, through faults in a seeded order. Budget: 35 seconds. */
class MixedFaultsProcessTest {
    private static final long FREEZE_MILLIS = 2_000;
    private static final long OUTAGE_MILLIS = 3_000;
    private static final long BETWEEN_MILLIS = 500;
    private static final int CALL_EVERY = 6;

    @TempDir
    private Path folder;

    private enum Fault {
        KILL_NODE,
        RESTART_NODE,
        FREEZE_NODE,
        CUT_LINK,
        SILENCE_LINK,
        LOG_OUTAGE,
        KILL_ENGINE
    }

    /** Every sixth request is a call; each key is sent twice, at different nodes. */
    private static CallerRequest request(int number) {
        if (number % CALL_EVERY == 0) {
            return CallerRequest.call(number, "mixed-" + number / (2 * CALL_EVERY));
        }
        return switch (number % 3) {
            case 0 -> CallerRequest.lookup(number);
            case 1 -> CallerRequest.stream(number, "m", 20);
            default -> CallerRequest.completion(number, "m", 5);
        };
    }

    @Test
    void answers_are_truthful_through_random_faults() {
        run(720, 40, 1);
    }

    @Test
    @Tag("long")
    void twelve_thousand_answers_are_truthful_through_random_faults() {
        run(12_000, 90, 2);
    }

    private void run(int count, double perSecond, long seed) {
        try (Fleet fleet = Fleet.start(folder, ClusterSettings.of(3, 3))) {
            Random random = new Random(seed);
            Traffic traffic = Traffic.start(fleet, fleet::nextAddress, MixedFaultsProcessTest::request, perSecond);
            List<Fault> faults = new ArrayList<>();
            while (traffic.sentCount() < count) {
                Fault fault = Fault.values()[random.nextInt(Fault.values().length)];
                faults.add(fault);
                apply(fleet, fault, random);
                Traffic.pause(BETWEEN_MILLIS);
            }
            List<CallerAnswer> answers = traffic.stop();
            Map<String, Long> outcomes = answers.stream()
                    .collect(Collectors.groupingBy(
                            MixedFaultsProcessTest::outcome, TreeMap::new, Collectors.counting()));
            System.out.printf("mixed, seed %d: %d faults %s, outcomes %s%n", seed, faults.size(), faults, outcomes);
            fleet.assertTruthful(traffic.sent(), FREEZE_MILLIS);
            assertThat(outcomes.getOrDefault("answered", 0L)).isGreaterThan(answers.size() / 2);
        }
    }

    private static String outcome(CallerAnswer answer) {
        if (answer.good()) {
            return "answered";
        }
        return answer.refused() ? answer.code() : answer.status() <= CallerAnswer.LOST ? "connection-lost" : "cut";
    }

    private static void apply(Fleet fleet, Fault fault, Random random) {
        Cluster cluster = fleet.cluster();
        List<String> nodes = cluster.nodeNames();
        String node = nodes.get(random.nextInt(nodes.size()));
        List<String> engines = cluster.engineNames();
        String engine = engines.get(random.nextInt(engines.size()));
        switch (fault) {
            case KILL_NODE -> {
                cluster.process(node).kill();
                cluster.startNode(node).listening();
            }
            case RESTART_NODE -> {
                cluster.process(node).terminate();
                cluster.process(node).awaitExit();
                cluster.startNode(node).listening();
            }
            case FREEZE_NODE -> {
                cluster.process(node).pause();
                Traffic.pause(FREEZE_MILLIS);
                cluster.process(node).resume();
            }
            case CUT_LINK -> cluster.resetLink("any", random.nextBoolean() ? engine : "service");
            case SILENCE_LINK -> cluster.silenceLink("any", random.nextBoolean() ? engine : "service");
            case LOG_OUTAGE -> {
                cluster.setFaults("log", LogFaults.outage());
                Traffic.pause(OUTAGE_MILLIS);
                cluster.setFaults("log", LogFaults.none());
            }
            case KILL_ENGINE -> {
                cluster.process(engine).kill();
                String store = cluster.process("store").listening().address();
                cluster.restartStandin(engine, List.of("--store", store)).listening();
            }
        }
    }
}
