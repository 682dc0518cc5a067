package org.poplarwharf.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.poplarwharf.internal.standin.LogFaults;
import org.poplarwharf.process.RandomFaultInjector.Fault;

/**
 * Injects random faults of all kinds, up to three at a time, while all nodes receive requests.
 *
 * <p>Each run prints its seed; {@code -Dpoplarwharf.seed=N} replays the faults of that run.
 */
class ChaosProcessTest {
    private static final long SEED = Long.getLong("poplarwharf.seed", 20261203L);
    private static final int MODEL_COUNT = 10;
    private static final int MAX_CONCURRENT_FAULTS = 3;
    private static final int MIN_FAULT_MILLIS = 500;
    private static final int MAX_FAULT_MILLIS = 3_000;
    private static final int MIN_PAUSE_MILLIS = 100;
    private static final int MAX_PAUSE_MILLIS = 800;
    private static final long DEADLINE_MILLIS = 4_000;

    /** Allowed delay past the deadline; a paused node can't respond until it resumes. */
    private static final long MAX_LATENESS_MILLIS = MAX_FAULT_MILLIS + 3_000;

    private static final long REQUEST_WAIT_MILLIS = 30;

    @TempDir
    private Path folder;

    private record ActiveFault(Fault fault, long endMillis) {}

    private static FleetConfigFile configFile() {
        List<FleetConfigFile.Model> models = IntStream.range(0, MODEL_COUNT)
                .mapToObj(i -> new FleetConfigFile.Model("m" + i, "v1", 1 + i % 2, List.of()))
                .toList();
        return new FleetConfigFile(2, DEADLINE_MILLIS / 1_000 + "s", models);
    }

    private void run(long millis) {
        System.out.println("chaos seed " + SEED);
        ClusterSettings settings = CheckedFleet.settings(4, 4, 2).withZones(2);
        try (CheckedFleet fleet = CheckedFleet.start(folder, settings, configFile())) {
            RandomFaultInjector injector = new RandomFaultInjector(fleet, configFile(), SEED);
            List<CompletableFuture<CheckedFleet.RequestOutcome>> pending = injectFaults(fleet, injector, millis);
            List<CheckedFleet.RequestOutcome> outcomes =
                    pending.stream().map(CompletableFuture::join).toList();
            long successCount =
                    outcomes.stream().filter(outcome -> outcome.status() == 200).count();
            System.out.println("chaos: " + outcomes.size() + " requests, " + successCount + " answered");

            fleet.assertNoViolations();
            assertThat(outcomes).allMatch(outcome -> outcome.latencyMillis() < DEADLINE_MILLIS + MAX_LATENESS_MILLIS);
            for (String node : fleet.cluster().nodeNames()) {
                fleet.awaitReady(node);
                configFile().models().forEach(model -> fleet.awaitSuccess(node, model.name()));
            }
        }
    }

    /** Injects faults for a time, undoes all of them and returns the requests that were sent meanwhile. */
    private static List<CompletableFuture<CheckedFleet.RequestOutcome>> injectFaults(
            CheckedFleet fleet, RandomFaultInjector injector, long millis) {
        List<CompletableFuture<CheckedFleet.RequestOutcome>> pending = new ArrayList<>();
        List<ActiveFault> activeFaults = new ArrayList<>();
        long endMillis = fleet.nowMillis() + millis;
        long nextFaultMillis = fleet.nowMillis();
        while (fleet.nowMillis() < endMillis) {
            endExpiredFaults(fleet, injector, activeFaults);
            if (fleet.nowMillis() >= nextFaultMillis && activeFaults.size() < MAX_CONCURRENT_FAULTS) {
                long faultMillis = injector.randomMillis(MIN_FAULT_MILLIS, MAX_FAULT_MILLIS);
                injector.injectNext().ifPresent(fault -> {
                    System.out.println("chaos: " + fault.description() + " for " + faultMillis + " ms");
                    activeFaults.add(new ActiveFault(fault, fleet.nowMillis() + faultMillis));
                });
                nextFaultMillis = fleet.nowMillis() + injector.randomMillis(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS);
            }
            sendOne(fleet, pending);
        }
        activeFaults.forEach(active -> injector.endFault(active.fault()));
        fleet.cluster().setFaults("log", LogFaults.none());
        injector.onAllFaultsEnded();
        return pending;
    }

    private static void endExpiredFaults(
            CheckedFleet fleet, RandomFaultInjector injector, List<ActiveFault> activeFaults) {
        activeFaults.stream()
                .filter(active -> active.endMillis() <= fleet.nowMillis())
                .sorted(Comparator.comparingLong(ActiveFault::endMillis))
                .toList()
                .forEach(active -> {
                    activeFaults.remove(active);
                    injector.endFault(active.fault());
                });
    }

    /** Sends one request and waits a short time for its outcome, which limits the rate of the loop. */
    private static void sendOne(CheckedFleet fleet, List<CompletableFuture<CheckedFleet.RequestOutcome>> pending) {
        List<String> nodes = fleet.liveNodes();
        String node = nodes.get(pending.size() % nodes.size());
        CompletableFuture<CheckedFleet.RequestOutcome> outcome =
                fleet.sendRequest(node, "m" + pending.size() % MODEL_COUNT);
        pending.add(outcome);
        outcome.thenApply(CheckedFleet.RequestOutcome::status)
                .completeOnTimeout(0, REQUEST_WAIT_MILLIS, TimeUnit.MILLISECONDS)
                .join();
    }

    @Test
    @Tag("known-red")
    void no_rule_is_broken_by_faults_at_random() {
        run(20_000);
    }

    @Test
    @Tag("long")
    void no_rule_is_broken_by_faults_at_random_for_long() {
        run(150_000);
    }
}
