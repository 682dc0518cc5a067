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
 * One run of a deployment at compressed time: a fresh fleet, one trace, and what callers and engines saw.
 *
 * <p>Stateless and thread-safe; several runs may go on at once.
 */
final class ExperimentFleet {
    private static final int NODES = 3;
    private static final long REPORT_MILLIS = 500;
    private static final long LEAST_REPORT_MILLIS = 20;
    private static final long WARM_TIMEOUT_MILLIS = 20_000;
    private static final long POLL_MILLIS = 50;

    private ExperimentFleet() {}

    /**
     * What is run.
     *
     * @param keepAliveMillis the dial of the idle policy, in the deployment's time
     * @param trace the requests, in the deployment's time
     */
    record Setup(
            Deployment deployment,
            FleetExample example,
            String idlePolicy,
            long keepAliveMillis,
            String replicaSelector,
            double timeScale,
            long durationMillis,
            List<Arrival> trace) {}

    /** What was seen, in compressed time. */
    record Outcome(List<RequestResult> results, AcceleratorUsage.Totals idle) {}

    static Outcome run(Setup setup, IntConsumer progress) {
        try (LocalFleet fleet = new LocalFleet(setup.example(), options(setup))) {
            fleet.start();
            awaitMinimumReplicas(fleet, setup.example().config());
            MonotonicClock clock = MonotonicClock.system();
            long startMillis = clock.nowMillis();
            LoadRunner runner = new LoadRunner(fleet.listenAddresses(), compressed(setup), progress);
            List<RequestResult> results = runner.run();
            long endMillis = startMillis + Math.round(setup.durationMillis() / setup.timeScale());
            AcceleratorUsage.Totals idle = AcceleratorUsage.of(
                    setup.example().config(), fleet.standins().engineJournals(), startMillis, endMillis);
            return new Outcome(results, idle);
        }
    }

    private static LocalFleetOptions options(Setup setup) {
        double scale = setup.timeScale();
        long reportMillis = Math.max(LEAST_REPORT_MILLIS, StandinPace.scaledMillis(REPORT_MILLIS, scale));
        double loadsPerSecond = setup.deployment().storeLoadsPerSecond();
        List<String> flags = List.of(
                "--idle-policy",
                setup.idlePolicy(),
                "--replica-selector",
                setup.replicaSelector(),
                "--keep-alive",
                StandinPace.scaledMillis(setup.keepAliveMillis(), scale) + "ms",
                "--engine-report",
                reportMillis + "ms",
                "--store-loads-per-second",
                Double.toString(loadsPerSecond * scale),
                "--drain",
                "1s",
                "--drain-notice",
                "100ms");
        return new LocalFleetOptions(NODES, flags, StandinPace.scaled(loadsPerSecond, scale));
    }

    private static List<Arrival> compressed(Setup setup) {
        List<Arrival> compressed = new ArrayList<>();
        for (Arrival a : setup.trace()) {
            compressed.add(new Arrival(
                    a.number(),
                    Math.round(a.atMillis() / setup.timeScale()),
                    a.artifact(),
                    a.requestClass(),
                    a.tenant(),
                    StandinPace.scaledMillis(a.deadlineMillis(), setup.timeScale()),
                    a.maxTokens(),
                    a.method(),
                    a.path(),
                    a.idempotencyKey()));
        }
        return compressed;
    }

    private static void awaitMinimumReplicas(LocalFleet fleet, FleetConfig config) {
        long wanted = config.models().stream().mapToLong(ModelSpec::minReplicas).sum();
        MonotonicClock clock = MonotonicClock.system();
        long startMillis = clock.nowMillis();
        while (loads(fleet) < wanted) {
            long waitedMillis = clock.nowMillis() - startMillis;
            if (waitedMillis > WARM_TIMEOUT_MILLIS) {
                throw Reporter.quickstartTimedOut("the minimum replicas are not loaded", waitedMillis);
            }
            try {
                Thread.sleep(POLL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw Reporter.interrupted("an experiment", e);
            }
        }
    }

    private static long loads(LocalFleet fleet) {
        return fleet.standins().engineJournals().values().stream()
                .flatMap(List::stream)
                .filter(entry ->
                        entry.event() instanceof EngineEvent.StateChanged changed && changed.state() == State.LOADED)
                .count();
    }
}
