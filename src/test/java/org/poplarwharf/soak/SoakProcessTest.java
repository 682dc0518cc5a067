package org.poplarwharf.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Gateways keep their promises through faults at random, a few at a time and overlapping.
 *
 * <p>{@code -Dpoplarwharf.soak.first=N -Dpoplarwharf.soak.seeds=M} with the profile {@code long} plays M seeds from N on.
 * A process's decision log is kept in the test's folder where its seed has failed.
 */
class SoakProcessTest {
    private static final long STRIKE_MILLIS = 15_000;
    private static final int MOST_FAULTS = 3;
    private static final int LEAST_FAULT_MILLIS = 300;
    private static final int MOST_FAULT_MILLIS = 4_000;
    private static final int LEAST_PAUSE_MILLIS = 100;
    private static final int MOST_PAUSE_MILLIS = 900;
    private static final long LOOK_MILLIS = 20;

    /** Gateways serve again this long after the last fault. */
    private static final long RECOVER_MILLIS = 12_000;

    private static final long MEASURED_MILLIS = 4_000;

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    private Path folder;

    @Test
    void promises_hold_through_a_short_soak() throws Exception {
        assertThat(soak(1)).isEmpty();
    }

    /**
     * Seeds that failed once.
     *
     * <p>104: an answer to an order, overtaken by a report, took an adapter out of what the report had shown, and the target
     * was ordered beyond its places.
     */
    @ParameterizedTest
    @ValueSource(longs = {104})
    void promises_hold_through_seeds_that_failed_before(long seed) throws Exception {
        assertThat(soak(seed)).isEmpty();
    }

    @Test
    @Tag("long")
    void promises_hold_through_many_seeds() throws Exception {
        long first = Long.getLong("poplarwharf.soak.first", System.currentTimeMillis());
        List<String> failed = new ArrayList<>();
        for (long seed = first; seed < first + Integer.getInteger("poplarwharf.soak.seeds", 5); seed++) {
            List<String> broken = soak(seed);
            if (!broken.isEmpty()) {
                failed.add("seed " + seed + ": " + broken);
            }
        }
        assertThat(failed).isEmpty();
    }

    /** Plays a seed and returns what was broken. */
    private List<String> soak(long seed) throws IOException, InterruptedException {
        System.out.println("soak: seed " + seed);
        try (SoakFleet fleet = new SoakFleet(Files.createDirectory(folder.resolve("seed-" + seed)))) {
            fleet.start();
            Callers callers = new Callers(fleet, seed);
            callers.start();
            strike(fleet, new SoakFaults(fleet, seed));

            Thread.sleep(RECOVER_MILLIS);
            long measuredMillis = fleet.nowMillis();
            Thread.sleep(MEASURED_MILLIS);
            Set<String> unready = fleet.gateways().stream()
                    .filter(gateway -> !gateway.ready())
                    .map(gateway -> gateway.name + " is not ready")
                    .collect(Collectors.toSet());
            callers.stop();

            List<Call> calls = new ArrayList<>(callers.calls());
            List<String> broken = new ArrayList<>(unready);
            for (SoakGateway gateway : fleet.gateways()) {
                Call call = askOnNewestRoute(fleet, gateway);
                calls.add(call);
                if (!call.served()) {
                    broken.add(gateway.name + " doesn't serve the newest route: " + call);
                }
            }
            broken.addAll(new Promises(calls, fleet.runs, fleet.faults).broken());
            List<Call> after = calls.stream()
                    .filter(call -> call.sentMillis() >= measuredMillis)
                    .toList();
            broken.addAll(Promises.notRecovered(
                    after,
                    fleet.gateways().stream().map(gateway -> gateway.name).collect(Collectors.toSet())));
            report(seed, calls, after, broken);
            return broken;
        }
    }

    /** Sends a request that only the newest configuration has a route for. */
    private static Call askOnNewestRoute(SoakFleet fleet, SoakGateway gateway) throws IOException {
        try (CallerConnection connection =
                new CallerConnection(gateway.lifetime(), gateway.frontPort, fleet::nowMillis)) {
            String id = "newest-" + gateway.name;
            return connection.call(id, CallKind.SAFE, SoakFleet.pathOf(fleet.planVersion()) + id, "");
        }
    }

    private static void strike(SoakFleet fleet, SoakFaults faults) throws InterruptedException {
        long endMillis = fleet.nowMillis() + STRIKE_MILLIS;
        long nextMillis = fleet.nowMillis() + faults.millisBetween(LEAST_PAUSE_MILLIS, MOST_PAUSE_MILLIS);
        while (fleet.nowMillis() < endMillis) {
            faults.endDue();
            if (fleet.nowMillis() >= nextMillis && faults.underWay() < MOST_FAULTS) {
                faults.strike(LEAST_FAULT_MILLIS, MOST_FAULT_MILLIS);
                nextMillis = fleet.nowMillis() + faults.millisBetween(LEAST_PAUSE_MILLIS, MOST_PAUSE_MILLIS);
            }
            Thread.sleep(LOOK_MILLIS);
        }
        faults.endAll();
    }

    private static void report(long seed, List<Call> calls, List<Call> after, List<String> broken) {
        System.out.println(
                "soak: seed " + seed + ": " + calls.size() + " calls, " + served(calls) + " served; after the faults "
                        + after.size() + " calls, " + served(after) + " served; " + broken.size() + " promises broken");
        broken.forEach(line -> System.out.println("soak: broken: " + line));
    }

    private static long served(List<Call> calls) {
        return calls.stream().filter(Call::served).count();
    }
}
