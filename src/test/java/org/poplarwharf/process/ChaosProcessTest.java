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
import org.poplarwharf.process.FaultSchedule.Fault;

/**
 * Faults of all kinds by a seed, up to three at a time, under requests at all nodes.
 *
 * <p>{@code -Dpoplarwharf.seed=N} replays the faults of a run; the seed is printed.
 */
class ChaosProcessTest {
    private static final long SEED = Long.getLong("poplarwharf.seed", 20261203L);
    private static final int MODELS = 10;
    private static final int MOST_FAULTS = 3;
    private static final int LEAST_FAULT_MILLIS = 500;
    private static final int MOST_FAULT_MILLIS = 3_000;
    private static final int LEAST_PAUSE_MILLIS = 100;
    private static final int MOST_PAUSE_MILLIS = 800;
    private static final long DEADLINE_MILLIS = 4_000;

    /** A node that is paused can't answer meanwhile. */
    private static final long LATE_MILLIS = MOST_FAULT_MILLIS + 3_000;

    private static final long PACE_MILLIS = 30;

    @TempDir
    private Path folder;

    private record Running(Fault fault, long endMillis) {}

    private static FleetFile file() {
        List<FleetFile.Model> models = IntStream.range(0, MODELS)
                .mapToObj(i -> new FleetFile.Model("m" + i, "v1", 1 + i % 2, List.of()))
                .toList();
        return new FleetFile(2, DEADLINE_MILLIS / 1_000 + "s", models);
    }

    private void run(long millis) {
        System.out.println("chaos seed " + SEED);
        ClusterSettings settings = FaultFleet.settings(4, 4, 2).withZones(2);
        try (FaultFleet fleet = FaultFleet.start(folder, settings, file())) {
            FaultSchedule schedule = new FaultSchedule(fleet, file(), SEED);
            List<CompletableFuture<FaultFleet.Answered>> asked = strike(fleet, schedule, millis);
            List<FaultFleet.Answered> answers =
                    asked.stream().map(CompletableFuture::join).toList();
            long served = answers.stream().filter(a -> a.status() == 200).count();
            System.out.println("chaos: " + answers.size() + " requests, " + served + " answered");

            fleet.check();
            assertThat(answers).allMatch(answer -> answer.tookMillis() < DEADLINE_MILLIS + LATE_MILLIS);
            for (String node : fleet.cluster().nodeNames()) {
                fleet.awaitReady(node);
                file().models().forEach(model -> fleet.awaitAnswer(node, model.name()));
            }
        }
    }

    /** Strikes for a while, ends every fault and returns the requests that were sent meanwhile. */
    private static List<CompletableFuture<FaultFleet.Answered>> strike(
            FaultFleet fleet, FaultSchedule schedule, long millis) {
        List<CompletableFuture<FaultFleet.Answered>> asked = new ArrayList<>();
        List<Running> running = new ArrayList<>();
        long endMillis = fleet.nowMillis() + millis;
        long nextMillis = fleet.nowMillis();
        while (fleet.nowMillis() < endMillis) {
            endDue(fleet, schedule, running);
            if (fleet.nowMillis() >= nextMillis && running.size() < MOST_FAULTS) {
                long lasts = schedule.millisBetween(LEAST_FAULT_MILLIS, MOST_FAULT_MILLIS);
                schedule.next().ifPresent(fault -> {
                    System.out.println("chaos: " + fault.what() + " for " + lasts + " ms");
                    running.add(new Running(fault, fleet.nowMillis() + lasts));
                });
                nextMillis = fleet.nowMillis() + schedule.millisBetween(LEAST_PAUSE_MILLIS, MOST_PAUSE_MILLIS);
            }
            ask(fleet, asked);
        }
        running.forEach(one -> schedule.end(one.fault()));
        fleet.cluster().setFaults("log", LogFaults.none());
        schedule.ended();
        return asked;
    }

    private static void endDue(FaultFleet fleet, FaultSchedule schedule, List<Running> running) {
        running.stream()
                .filter(one -> one.endMillis() <= fleet.nowMillis())
                .sorted(Comparator.comparingLong(Running::endMillis))
                .toList()
                .forEach(one -> {
                    running.remove(one);
                    schedule.end(one.fault());
                });
    }

    /** Sends one request; waits for a short time for its end, which paces the loop. */
    private static void ask(FaultFleet fleet, List<CompletableFuture<FaultFleet.Answered>> asked) {
        List<String> nodes = fleet.liveNodes();
        String node = nodes.get(asked.size() % nodes.size());
        CompletableFuture<FaultFleet.Answered> answer = fleet.ask(node, "m" + asked.size() % MODELS);
        asked.add(answer);
        answer.thenApply(FaultFleet.Answered::status)
                .completeOnTimeout(0, PACE_MILLIS, TimeUnit.MILLISECONDS)
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
