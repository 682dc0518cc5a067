package org.poplarwharf.internal.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntConsumer;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.internal.config.FleetConfig.ModelSpec;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.load.AcceleratorUsage;
import org.poplarwharf.internal.load.Arrival;
import org.poplarwharf.internal.load.LoadRunner;
import org.poplarwharf.internal.load.RequestResult;
import org.poplarwharf.internal.standin.EngineEvent;
import org.poplarwharf.internal.standin.EngineEvent.State;

/**
 * Runs one trace against a new fleet with scaled-down durations, and collects the results of callers and engines.
 *
 * <p>Stateless and thread-safe; several runs may execute in parallel.
 */
final class ExperimentRun {
    private static final int NODE_COUNT = 3;
    private static final long REPORT_INTERVAL_MILLIS = 500;
    private static final long MIN_REPORT_INTERVAL_MILLIS = 20;
    private static final long MIN_REPLICAS_TIMEOUT_MILLIS = 20_000;
    private static final long POLL_INTERVAL_MILLIS = 50;

    private ExperimentRun() {}

    /**
     * The parameters of a run.
     *
     * @param keepAliveMillis the idle policy's keep-alive time, unscaled
     * @param durationMillis length of the trace, unscaled
     * @param trace the requests, with unscaled times
     */
    record Setup(
            ReferenceDeployment deployment,
            ExampleConfig example,
            String idlePolicy,
            long keepAliveMillis,
            String replicaSelector,
            double timeScale,
            long durationMillis,
            List<Arrival> trace) {}

    /** The results of a run. All durations are scaled. */
    record Outcome(List<RequestResult> results, AcceleratorUsage.Totals usage) {}

    /** Executes a run; calls {@code progress} with the number of finished requests. */
    static Outcome run(Setup setup, IntConsumer progress) {
        try (LocalFleet fleet = new LocalFleet(setup.example(), options(setup))) {
            fleet.start();
            awaitMinimumReplicas(fleet, setup.example().config());
            MonotonicClock clock = MonotonicClock.system();
            long startMillis = clock.nowMillis();
            LoadRunner runner = new LoadRunner(fleet.listenAddresses(), scaledTrace(setup), progress);
            List<RequestResult> results = runner.run();
            long endMillis = startMillis + Math.round(setup.durationMillis() / setup.timeScale());
            AcceleratorUsage.Totals usage = AcceleratorUsage.of(
                    setup.example().config(), fleet.standins().engineJournals(), startMillis, endMillis);
            return new Outcome(results, usage);
        }
    }

    private static LocalFleetOptions options(Setup setup) {
        double timeScale = setup.timeScale();
        long reportIntervalMillis = Math.max(
                MIN_REPORT_INTERVAL_MILLIS, StandinPerformance.scaledMillis(REPORT_INTERVAL_MILLIS, timeScale));
        double loadsPerSecond = setup.deployment().storeLoadsPerSecond();
        List<String> flags = List.of(
                "--idle-policy",
                setup.idlePolicy(),
                "--replica-selector",
                setup.replicaSelector(),
                "--keep-alive",
                StandinPerformance.scaledMillis(setup.keepAliveMillis(), timeScale) + "ms",
                "--engine-report",
                reportIntervalMillis + "ms",
                "--store-loads-per-second",
                Double.toString(loadsPerSecond * timeScale),
                "--drain",
                "1s",
                "--drain-notice",
                "100ms");
        return new LocalFleetOptions(NODE_COUNT, flags, StandinPerformance.scaled(loadsPerSecond, timeScale));
    }

    private static List<Arrival> scaledTrace(Setup setup) {
        List<Arrival> scaled = new ArrayList<>();
        for (Arrival arrival : setup.trace()) {
            scaled.add(new Arrival(
                    arrival.number(),
                    Math.round(arrival.atMillis() / setup.timeScale()),
                    arrival.artifact(),
                    arrival.requestClass(),
                    arrival.tenant(),
                    StandinPerformance.scaledMillis(arrival.deadlineMillis(), setup.timeScale()),
                    arrival.maxTokens(),
                    arrival.method(),
                    arrival.path(),
                    arrival.idempotencyKey()));
        }
        return scaled;
    }

    private static void awaitMinimumReplicas(LocalFleet fleet, FleetConfig config) {
        long expectedLoads =
                config.models().stream().mapToLong(ModelSpec::minReplicas).sum();
        MonotonicClock clock = MonotonicClock.system();
        long startMillis = clock.nowMillis();
        while (countLoads(fleet) < expectedLoads) {
            long waitedMillis = clock.nowMillis() - startMillis;
            if (waitedMillis > MIN_REPLICAS_TIMEOUT_MILLIS) {
                throw Reporter.quickstartTimedOut("the minimum replicas are still not loaded", waitedMillis);
            }
            try {
                Thread.sleep(POLL_INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw Reporter.interrupted("an experiment", e);
            }
        }
    }

    private static long countLoads(LocalFleet fleet) {
        return fleet.standins().engineJournals().values().stream()
                .flatMap(List::stream)
                .filter(entry ->
                        entry.event() instanceof EngineEvent.StateChanged changed && changed.state() == State.LOADED)
                .count();
    }
}
