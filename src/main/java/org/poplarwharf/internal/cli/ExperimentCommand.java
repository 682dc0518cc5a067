package org.poplarwharf.internal.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.poplarwharf.internal.cli.ExperimentRun.Outcome;
import org.poplarwharf.internal.cli.ExperimentRun.Setup;
import org.poplarwharf.internal.kernel.NodeLog;
import org.poplarwharf.internal.load.Arrival;
import org.poplarwharf.internal.load.ColdStartStats;
import org.poplarwharf.internal.load.LoadReport;
import org.poplarwharf.internal.load.OfflineLowerBound;
import org.poplarwharf.internal.load.PolicyComparison;
import org.poplarwharf.internal.load.PolicyComparison.OperatingPoint;
import org.poplarwharf.internal.load.WorkloadGenerator;

/**
 * {@code poplarwharf experiment}: compares policies on the same trace. Each run uses a new fleet in this process.
 * Stateless and thread-safe.
 */
public final class ExperimentCommand implements Command {
    private static final String BASELINE_POLICY = "fixed";
    private static final String DEPLOYMENT = "deployment";
    private static final String SEED = "seed";
    private static final String POLICIES = "policies";
    private static final String SELECTORS = "selectors";
    private static final String KEEP_ALIVES = "keep-alives";
    private static final String TIME_SCALE = "time-scale";
    private static final String TRACE = "trace";
    private static final String PARALLEL = "parallel";
    private static final String OUT = "out";
    private static final String MODEL_KEEP_ALIVE_PATTERN = "(?m)^ *keepAlive:.*\\R";
    private static final long MILLIS_PER_HOUR = 3_600_000;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final int MAX_PARALLEL_RUNS = 16;

    private static final List<OptionSpec> COMMON = List.of(
            OptionSpec.of(DEPLOYMENT, "NAME", "halvorsen", "halvorsen or balkan"),
            OptionSpec.of(SEED, "NUMBER", "1", "seed of the trace"),
            OptionSpec.of(TIME_SCALE, "NUMBER", "10", "factor that every duration is divided by"),
            OptionSpec.of(TRACE, "DURATION", "15m", "length of the trace, before scaling"),
            OptionSpec.of(PARALLEL, "COUNT", "12", "maximum number of fleets that run in parallel"),
            OptionSpec.of(OUT, "DIR", "results", "directory for the results"));
    private static final OptionSet IDLE_OPTIONS = new OptionSet(
            "experiment idle",
            "",
            withCommonOptions(
                    OptionSpec.of(
                            POLICIES,
                            "LIST",
                            "fixed,size-weighted,expected-cost,expected-cost-by-size",
                            "idle policies to compare"),
                    OptionSpec.of(
                            KEEP_ALIVES,
                            "LIST",
                            "30,120,480",
                            "keep-alive times to run each policy with, in seconds")));
    private static final OptionSet ROUTING_OPTIONS = new OptionSet(
            "experiment routing",
            "",
            withCommonOptions(
                    OptionSpec.of(
                            SELECTORS,
                            "LIST",
                            "least-loaded,round-robin,two-choices,shortest-latency",
                            "replica selectors to compare"),
                    OptionSpec.of(KEEP_ALIVES, "LIST", "300", "keep-alive time of the idle policy, in seconds")));

    private static List<OptionSpec> withCommonOptions(OptionSpec... specificOptions) {
        List<OptionSpec> all = new ArrayList<>(COMMON);
        all.addAll(List.of(specificOptions));
        return all;
    }

    @Override
    public String name() {
        return "experiment";
    }

    @Override
    public String summary() {
        return "compares policies on the same trace: idle, routing, placement";
    }

    @Override
    public int run(List<String> arguments, PrintStream out, PrintStream err) {
        String subcommand = arguments.isEmpty() ? "" : arguments.get(0);
        List<String> rest = arguments.isEmpty() ? arguments : arguments.subList(1, arguments.size());
        return switch (subcommand) {
            case "idle" -> IDLE_OPTIONS.run(rest, out, err, values -> idle(values, out, err));
            case "routing" -> ROUTING_OPTIONS.run(rest, out, err, values -> routing(values, out, err));
            case "placement" -> PlacementExperiment.run(rest, out, err);
            case "--help" -> printUsage(out, EXIT_OK);
            default -> printUsage(err, EXIT_USAGE);
        };
    }

    private static int printUsage(PrintStream stream, int exitCode) {
        stream.println("Usage: poplarwharf experiment idle | routing | placement");
        stream.println("See poplarwharf experiment COMMAND --help for options.");
        return exitCode;
    }

    /** The parsed options, configuration and trace that both experiments use. */
    private record ExperimentContext(
            ReferenceDeployment deployment,
            ExampleConfig example,
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

    private static ExperimentContext readContext(OptionValues values) {
        NodeLog.setLevel("error");
        Optional<ReferenceDeployment> deploymentByName = ReferenceDeployment.ALL.stream()
                .filter(deployment -> deployment.name().equals(values.text(DEPLOYMENT)))
                .findFirst();
        values.require(deploymentByName.isPresent(), DEPLOYMENT, "must be halvorsen or balkan");
        long seed = values.integer(SEED, 0, Integer.MAX_VALUE);
        double timeScale = values.positiveNumber(TIME_SCALE);
        long durationMillis = values.durationMillis(TRACE);
        int parallel = values.integer(PARALLEL, 1, MAX_PARALLEL_RUNS);
        List<Long> keepAlives = values.list(KEEP_ALIVES).stream()
                .map(text -> parseSeconds(values, text))
                .map(seconds -> seconds * MILLIS_PER_SECOND)
                .toList();
        values.require(!keepAlives.isEmpty(), KEEP_ALIVES, "must contain at least one value");
        Path folder = Path.of(values.text(OUT));
        values.throwIfInvalid();
        ReferenceDeployment deployment = deploymentByName.orElseThrow();
        ExampleConfig example = ExampleConfig.load(deployment.name())
                .withEditedFiles(content -> content.replaceAll(MODEL_KEEP_ALIVE_PATTERN, ""));
        List<Arrival> trace = WorkloadGenerator.generate(example.config(), deployment.workload(seed, durationMillis));
        return new ExperimentContext(
                deployment, example, seed, timeScale, durationMillis, parallel, keepAlives, trace, folder);
    }

    private static long parseSeconds(OptionValues values, String text) {
        boolean isNumber = text.matches("\\d{1,6}");
        values.require(isNumber, KEEP_ALIVES, "'" + text + "' is not a number of seconds");
        return isNumber ? Long.parseLong(text) : 1;
    }

    private static int idle(OptionValues values, PrintStream out, PrintStream err) {
        ExperimentContext context = readContext(values);
        List<Setup> setups = new ArrayList<>();
        for (String policy : values.list(POLICIES)) {
            for (long keepAliveMillis : context.keepAlivesMillis()) {
                setups.add(context.setup(policy, keepAliveMillis, "least-loaded"));
            }
        }
        List<Outcome> outcomes = ExperimentRunner.runAll(setups, context.parallel(), err);
        List<OperatingPoint> points = new ArrayList<>();
        for (int run = 0; run < setups.size(); run++) {
            points.add(toPoint(setups.get(run), outcomes.get(run)));
        }
        OfflineLowerBound bound = OfflineLowerBound.of(
                context.example().config(),
                context.trace(),
                StandinPerformance.limits(context.deployment().storeLoadsPerSecond()),
                context.durationMillis());
        ExperimentReport report = new ExperimentReport(
                context.deployment().name(),
                context.seed(),
                context.timeScale(),
                context.durationMillis(),
                context.trace().size(),
                points,
                bound,
                bound.idleMillis() / MILLIS_PER_HOUR,
                new PolicyComparison(points).compareWith(BASELINE_POLICY));
        report.write(context.folder());
        report.print(out);
        out.println("Results were written to " + context.folder() + ".");
        return points.stream().allMatch(point -> point.breaches() == 0) ? EXIT_OK : EXIT_FAILED;
    }

    private static OperatingPoint toPoint(Setup setup, Outcome outcome) {
        return new OperatingPoint(
                setup.idlePolicy(),
                setup.keepAliveMillis(),
                outcome.usage().idleMillis() * setup.timeScale() / MILLIS_PER_HOUR,
                ColdStartStats.of(outcome.results(), setup.timeScale()),
                outcome.usage().loads(),
                outcome.usage().breaches());
    }

    private static int routing(OptionValues values, PrintStream out, PrintStream err) {
        ExperimentContext context = readContext(values);
        List<String> selectors = values.list(SELECTORS);
        List<Setup> setups = selectors.stream()
                .map(selector -> context.setup(
                        BASELINE_POLICY, context.keepAlivesMillis().get(0), selector))
                .toList();
        List<Outcome> outcomes = ExperimentRunner.runAll(setups, context.parallel(), err);
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
                    outcomes.get(run).usage().loads());
        }
        table.print(out);
        out.println("All durations are divided by " + context.timeScale() + ".");
        ExperimentReport.writeJson(
                context.folder().resolve("routing-" + context.deployment().name() + ".json"), results);
        return EXIT_OK;
    }

    private record RoutingResult(String selector, LoadReport report) {}
}
