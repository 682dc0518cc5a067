package org.poplarwharf.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.poplarwharf.internal.standin.EngineEvent;
import org.poplarwharf.internal.standin.EngineFaults;

/**
 * Sends a request that crashes every engine that runs it, repeatedly and to all nodes. It must not take down more than two
 * targets. Time budget: 30 seconds.
 */
class CrashingRequestProcessTest {
    private static final int ENGINE_COUNT = 4;
    private static final int MAX_CRASH_COUNT = 2;
    private static final double POISON_REQUESTS_PER_SECOND = 10;
    private static final double OTHER_REQUESTS_PER_SECOND = 40;

    @TempDir
    private Path folder;

    private static long crashCount(Fleet fleet) {
        return fleet.engineJournals().stream()
                .filter(entry -> entry.event() instanceof EngineEvent.Crashed)
                .count();
    }

    private static void restartCrashedEngines(Fleet fleet) {
        for (String engine : fleet.cluster().engineNames()) {
            if (!fleet.cluster().process(engine).isAlive()) {
                String store = fleet.cluster().process("store").awaitListening().address();
                fleet.cluster().restartStandin(engine, List.of("--store", store));
                fleet.cluster().process(engine).awaitListening();
                fleet.cluster().setFaults(engine, EngineFaults.crashOn("poison"));
            }
        }
    }

    @ParameterizedTest
    @Tag("known-red")
    @ValueSource(booleans = {false, true})
    void at_most_two_targets_crash_and_other_requests_succeed(boolean restartCrashed) {
        run(restartCrashed, TimeUnit.SECONDS.toMillis(7));
    }

    @Test
    @Tag("long")
    void at_most_two_targets_crash_within_a_minute() {
        run(true, TimeUnit.SECONDS.toMillis(60));
    }

    private void run(boolean restartCrashed, long millis) {
        try (Fleet fleet = Fleet.start(folder, ClusterSettings.of(3, ENGINE_COUNT))) {
            fleet.cluster()
                    .engineNames()
                    .forEach(engine -> fleet.cluster().setFaults(engine, EngineFaults.crashOn("poison")));
            FixedRateTraffic otherTraffic = FixedRateTraffic.start(
                    fleet,
                    fleet::nextNodeAddress,
                    number -> VerifiableRequest.stream(number, "m", 30),
                    OTHER_REQUESTS_PER_SECOND);
            FixedRateTraffic.sleepMillis(TimeUnit.SECONDS.toMillis(1));
            FixedRateTraffic poisonTraffic = FixedRateTraffic.start(
                    fleet,
                    fleet::nextNodeAddress,
                    number -> VerifiableRequest.completion(number, "m", 5, "poison", false),
                    POISON_REQUESTS_PER_SECOND);
            long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
            while (System.nanoTime() < endNanos) {
                FixedRateTraffic.sleepMillis(200);
                if (restartCrashed) {
                    restartCrashedEngines(fleet);
                }
            }
            List<CallerResponse> poisonResponses = poisonTraffic.stop();
            List<CallerResponse> otherResponses = otherTraffic.stopAfter(TimeUnit.SECONDS.toMillis(1));
            System.out.printf(
                    "crashing request, restart=%s: %d deaths, %d of %d others not served%n",
                    restartCrashed,
                    crashCount(fleet),
                    otherResponses.stream()
                            .filter(response -> !response.isSuccessful())
                            .count(),
                    otherResponses.size());
            assertThat(crashCount(fleet)).isBetween(1L, (long) MAX_CRASH_COUNT);
            assertThat(otherResponses).allMatch(CallerResponse::isSuccessful);
            assertThat(poisonResponses.getLast().code()).isEqualTo("request-condemned");
        }
    }
}
