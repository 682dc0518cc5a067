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

/**
 * Sends repeatable requests and non-repeatable calls while faults are injected in a seeded order. Time budget: 35 seconds.
 */
class MixedFaultsProcessTest {
    private static final long FREEZE_MILLIS = 2_000;
    private static final long OUTAGE_MILLIS = 3_000;
    private static final long FAULT_INTERVAL_MILLIS = 500;
    private static final int REQUESTS_PER_CALL = 6;

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

    /** Returns a call for every sixth number; each idempotency key is sent twice, to different nodes. */
    private static VerifiableRequest request(int number) {
        if (number % REQUESTS_PER_CALL == 0) {
            return VerifiableRequest.nonRepeatableCall(number, "mixed-" + number / (2 * REQUESTS_PER_CALL));
        }
        return switch (number % 3) {
            case 0 -> VerifiableRequest.lookup(number);
            case 1 -> VerifiableRequest.stream(number, "m", 20);
            default -> VerifiableRequest.completion(number, "m", 5);
        };
    }

    @Test
    void responses_match_the_journals_under_random_faults() {
        run(720, 40, 1);
    }

    @Test
    @Tag("long")
    void twelve_thousand_responses_match_the_journals_under_random_faults() {
        run(12_000, 90, 2);
    }

    private void run(int count, double requestsPerSecond, long seed) {
        try (Fleet fleet = Fleet.start(folder, ClusterSettings.of(3, 3))) {
            Random random = new Random(seed);
            FixedRateTraffic traffic = FixedRateTraffic.start(
                    fleet, fleet::nextNodeAddress, MixedFaultsProcessTest::request, requestsPerSecond);
            List<Fault> injectedFaults = new ArrayList<>();
            while (traffic.sentCount() < count) {
                Fault fault = Fault.values()[random.nextInt(Fault.values().length)];
                injectedFaults.add(fault);
                inject(fleet, fault, random);
                FixedRateTraffic.sleepMillis(FAULT_INTERVAL_MILLIS);
            }
            List<CallerResponse> responses = traffic.stop();
            Map<String, Long> outcomeCounts = responses.stream()
                    .collect(Collectors.groupingBy(
                            MixedFaultsProcessTest::outcome, TreeMap::new, Collectors.counting()));
            System.out.printf(
                    "mixed, seed %d: %d faults %s, outcomes %s%n",
                    seed, injectedFaults.size(), injectedFaults, outcomeCounts);
            fleet.assertResponsesMatchJournals(traffic.sentRequests(), FREEZE_MILLIS);
            assertThat(outcomeCounts.getOrDefault("answered", 0L)).isGreaterThan(responses.size() / 2);
        }
    }

    private static String outcome(CallerResponse response) {
        if (response.isSuccessful()) {
            return "answered";
        }
        return response.hasErrorCode()
                ? response.code()
                : response.status() <= CallerResponse.CONNECTION_LOST ? "connection-lost" : "cut";
    }

    private static void inject(Fleet fleet, Fault fault, Random random) {
        Cluster cluster = fleet.cluster();
        List<String> nodes = cluster.nodeNames();
        String node = nodes.get(random.nextInt(nodes.size()));
        List<String> engines = cluster.engineNames();
        String engine = engines.get(random.nextInt(engines.size()));
        switch (fault) {
            case KILL_NODE -> {
                cluster.process(node).kill();
                cluster.startNode(node).awaitListening();
            }
            case RESTART_NODE -> {
                cluster.process(node).terminate();
                cluster.process(node).awaitExit();
                cluster.startNode(node).awaitListening();
            }
            case FREEZE_NODE -> {
                cluster.process(node).pause();
                FixedRateTraffic.sleepMillis(FREEZE_MILLIS);
                cluster.process(node).resume();
            }
            case CUT_LINK -> cluster.resetLink("any", random.nextBoolean() ? engine : "service");
            case SILENCE_LINK -> cluster.silenceLink("any", random.nextBoolean() ? engine : "service");
            case LOG_OUTAGE -> {
                cluster.setFaults("log", LogFaults.outage());
                FixedRateTraffic.sleepMillis(OUTAGE_MILLIS);
                cluster.setFaults("log", LogFaults.none());
            }
            case KILL_ENGINE -> {
                cluster.process(engine).kill();
                String store = cluster.process("store").awaitListening().address();
                cluster.restartStandin(engine, List.of("--store", store)).awaitListening();
            }
        }
    }
}
