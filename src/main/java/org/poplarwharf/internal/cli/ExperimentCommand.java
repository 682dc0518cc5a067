package org.poplarwharf.internal.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.poplarwharf.internal.cli.ExperimentFleet.Outcome;
import org.poplarwharf.internal.cli.ExperimentFleet.Setup;
import org.poplarwharf.internal.kernel.NodeLog;
import org.poplarwharf.internal.load.Arrival;
import org.poplarwharf.internal.load.ColdStartStats;
import org.poplarwharf.internal.load.LoadReport;
import org.poplarwharf.internal.load.OfflineLowerBound;
import org.poplarwharf.internal.load.PolicyComparison;
import org.poplarwharf.internal.load.PolicyComparison.OperatingPoint;
import org.poplarwharf.internal.load.WorkloadGenerator;

/**
 * {@code poplarwharf experiment}: measures policies side by side on one trace, with fresh fleets in this process.
 * Stateless and thread-safe.
 */
public final class ExperimentCommand implements Command {
    private static final String BASELINE = "fixed";
    private static final String DEPLOYMENT = "deployment";
    private static final String SEED = "seed";
    private static final String POLICIES = "policies";
    private static final String SELECTORS = "selectors";
    private static final String KEEP_ALIVES = "keep-alives";
    private static final String TIME_SCALE = "time-scale";
    private static final String TRACE = "trace";
    private static final String PARALLEL = "parallel";
    private static final String OUT = "out";
    private static final String MODEL_KEEP_ALIVE_LINES = "(?m)^ *keepAlive:.*\\R";
    private static final long MILLIS_PER_HOUR = 3_600_000;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final int MOST_PARALLEL = 16;

    private static final List<OptionSpec> COMMON = List.of(
            OptionSpec.of(DEPLOYMENT, "NAME", "halvorsen", "halvorsen or balkan"),
            OptionSpec.of(SEED, "NUMBER", "1", "seed of the trace"),
            OptionSpec.of(TIME_SCALE, "NUMBER", "10", "by what every duration is divided"),
            OptionSpec.of(TRACE, "DURATION", "15m", "length of the trace in the deployment's time"),
            OptionSpec.of(PARALLEL, "COUNT", "12", "fleets that run at once"),
            OptionSpec.of(OUT, "DIR", "results", "where results are written"));
    private static final OptionSet IDLE = new OptionSet(
            "experiment idle",
            "",
            with(
                    OptionSpec.of(
                            POLICIES,
                            "LIST",
                            "fixed,size-weighted,expected-cost,expected-cost-by-size",
                            "idle policies"),
                    OptionSpec.of(KEEP_ALIVES, "LIST", "30,120,480", "settings of the dial in seconds")));
    private static final OptionSet ROUTING = new OptionSet(
            "experiment routing",
            "",
            with(
                    OptionSpec.of(
                            SELECTORS,
                            "LIST",
                            "least-loaded,round-robin,two-choices,shortest-latency",
                            "replica selectors"),
                    OptionSpec.of(KEEP_ALIVES, "LIST", "300", "setting of the idle policy in seconds")));

    private static List<OptionSpec> with(OptionSpec... own) {
        List<OptionSpec> all = new ArrayList<>(COMMON);
        all.addAll(List.of(own));
        return all;
    }

    @Override
    public String name() {
        return "experiment";
    }

    @Override
    public String summary() {
        return "idle or routing: measures policies side by side on one trace";
    }

    @Override
    public int run(List<String> arguments, PrintStream out, PrintStream err) {
        String word = arguments.isEmpty() ? "" : arguments.get(0);
        List<String> rest = arguments.isEmpty() ? arguments : arguments.subList(1, arguments.size());
        return switch (word) {
            case "idle" -> IDLE.run(rest, out, err, values -> idle(values, out, err));
            case "routing" -> ROUTING.run(rest, out, err, values -> routing(values, out, err));
            case "--help" -> usage(out, EXIT_OK);
            default -> usage(err, EXIT_USAGE);
        };
    }

    private static int usage(PrintStream stream, int exitCode) {
        stream.println("Usage: poplarwharf experiment idle | routing");
        stream.println("poplarwharf experiment WORD --help lists the options.");
        return exitCode;
    }

    /** What both experiments share. */
    private record Frame(
            Deployment deployment,
            FleetExample example,
            long seed,
            double timeScale,
            long durationMillis,
            int parallel,
            List<Long> keepAlivesMillis,
            List<Arrival> trace,
            Path folder) {
        Setup setup(String idlePolicy, long keepAliveMillis, String selector) {
            return new Setup(
                    deployment, example, idlePolicy, keepAliveMillis, selector, timeScale, durationMillis, trace);
        }
    }

    private static Frame frame(OptionValues values) {
        NodeLog.setLevel("error");
        Optional<Deployment> named = Deployment.ALL.stream()
                .filter(deployment -> deployment.name().equals(values.text(DEPLOYMENT)))
                .findFirst();
        values.require(named.isPresent(), DEPLOYMENT, "must be halvorsen or balkan");
        long seed = values.integer(SEED, 0, Integer.MAX_VALUE);
        double timeScale = values.positiveNumber(TIME_SCALE);
        long durationMillis = values.durationMillis(TRACE);
        int parallel = values.integer(PARALLEL, 1, MOST_PARALLEL);
        List<Long> keepAlives = values.list(KEEP_ALIVES).stream()
                .map(text -> seconds(values, text))
                .map(seconds -> seconds * MILLIS_PER_SECOND)
                .toList();
        values.require(!keepAlives.isEmpty(), KEEP_ALIVES, "must name at least one");
        Path folder = Path.of(values.text(OUT));
        values.check();
        Deployment deployment = named.orElseThrow();
        FleetExample example =
                FleetExample.load(deployment.name()).edited(content -> content.replaceAll(MODEL_KEEP_ALIVE_LINES, ""));
        List<Arrival> trace = WorkloadGenerator.generate(example.config(), deployment.workload(seed, durationMillis));
        return new Frame(deployment, example, seed, timeScale, durationMillis, parallel, keepAlives, trace, folder);
    }

    private static long seconds(OptionValues values, String text) {
        boolean number = text.matches("\\d{1,6}");
        values.require(number, KEEP_ALIVES, "'" + text + "' is not a number of seconds");
        return number ? Long.parseLong(text) : 1;
    }

    private static int idle(OptionValues values, PrintStream out, PrintStream err) {
        Frame frame = frame(values);
        List<Setup> setups = new ArrayList<>();
        for (String policy : values.list(POLICIES)) {
            for (long keepAliveMillis : frame.keepAlivesMillis()) {
                setups.add(frame.setup(policy, keepAliveMillis, "least-loaded"));
            }
        }
        List<Outcome> outcomes = Experiment.run(setups, frame.parallel(), err);
        List<OperatingPoint> points = new ArrayList<>();
        for (int run = 0; run < setups.size(); run++) {
            points.add(point(setups.get(run), outcomes.get(run)));
        }
        OfflineLowerBound bound = OfflineLowerBound.of(
                frame.example().config(),
                frame.trace(),
                StandinPace.limits(frame.deployment().storeLoadsPerSecond()),
                frame.durationMillis());
        ExperimentReport report = new ExperimentReport(
                frame.deployment().name(),
                frame.seed(),
                frame.timeScale(),
                frame.durationMillis(),
                frame.trace().size(),
                points,
                bound,
                bound.idleMillis() / MILLIS_PER_HOUR,
                new PolicyComparison(points).compareWith(BASELINE));
        report.write(frame.folder());
        report.print(out);
        out.println("Results are in " + frame.folder() + ".");
        return points.stream().allMatch(point -> point.breaches() == 0) ? EXIT_OK : EXIT_FAILED;
    }

    private static OperatingPoint point(Setup setup, Outcome outcome) {
        return new OperatingPoint(
                setup.idlePolicy(),
                setup.keepAliveMillis(),
                outcome.idle().idleMillis() * setup.timeScale() / MILLIS_PER_HOUR,
                ColdStartStats.of(outcome.results(), setup.timeScale()),
                outcome.idle().loads(),
                outcome.idle().breaches());
    }

    private static int routing(OptionValues values, PrintStream out, PrintStream err) {
        Frame frame = frame(values);
        List<String> selectors = values.list(SELECTORS);
        List<Setup> setups = selectors.stream()
                .map(selector -> frame.setup(BASELINE, frame.keepAlivesMillis().get(0), selector))
                .toList();
        List<Outcome> outcomes = Experiment.run(setups, frame.parallel(), err);
        TextTable table = new TextTable(
                "SELECTOR", "GOOD", "REFUSED", "WARM P50 MS", "WARM P95 MS", "WARM P99 MS", "COLD P99 MS", "LOADS");
        List<RoutingResult> results = new ArrayList<>();
        for (int run = 0; run < selectors.size(); run++) {
            LoadReport report = LoadReport.of(outcomes.get(run).results());
            results.add(new RoutingResult(selectors.get(run), report));
            int refused = report.refused().values().stream()
                    .mapToInt(Integer::intValue)
                    .sum();
            table.add(
                    selectors.get(run),
                    report.good(),
                    refused,
                    report.warm().p50Millis(),
                    report.warm().p95Millis(),
                    report.warm().p99Millis(),
                    report.coldStart().p99Millis(),
                    outcomes.get(run).idle().loads());
        }
        table.print(out);
        out.println("Times are compressed " + frame.timeScale() + " times.");
        ExperimentReport.writeJson(
                frame.folder().resolve("routing-" + frame.deployment().name() + ".json"), results);
        return EXIT_OK;
    }

    private record RoutingResult(String selector, LoadReport report) {}
}
