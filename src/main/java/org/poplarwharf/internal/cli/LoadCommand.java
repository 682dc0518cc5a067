package org.poplarwharf.internal.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import me.tongfei.progressbar.ProgressBar;
import org.poplarwharf.internal.config.ConfigDirectory;
import org.poplarwharf.internal.config.ConfigMerger;
import org.poplarwharf.internal.config.ConfigMerger.MergeResult;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.load.Arrival;
import org.poplarwharf.internal.load.LoadReport;
import org.poplarwharf.internal.load.LoadReport.Quantiles;
import org.poplarwharf.internal.load.LoadRunner;
import org.poplarwharf.internal.load.WorkloadGenerator;
import org.poplarwharf.internal.load.WorkloadSpec;

/**
 * {@code poplarwharf load}: sends a seeded workload to running nodes as an open-loop load generator.
 *
 * <p>Stateless and thread-safe.
 */
public final class LoadCommand implements Command {
    private static final int MAX_MEAN_TOKENS = 100_000;
    private static final OptionSet OPTIONS = new OptionSet(
            "load",
            "",
            List.of(
                    OptionSpec.of("nodes", "LIST", "addresses of nodes, used round-robin"),
                    OptionSpec.of("config", "DIR", "directory of the configuration that the nodes use"),
                    OptionSpec.of("seed", "NUMBER", "1", "seed of the workload"),
                    OptionSpec.of("duration", "DURATION", "60s", "how long requests are sent"),
                    OptionSpec.of("rate", "NUMBER", "10", "mean request rate per second"),
                    OptionSpec.of(
                            "service-share",
                            "NUMBER",
                            "0.2",
                            "fraction of requests that go to services other than engines"),
                    OptionSpec.of("skew", "NUMBER", "0.9", "Zipf exponent of the popularity of models and adapters"),
                    OptionSpec.of("burst", "NUMBER", "3", "mean number of requests in a burst for one model"),
                    OptionSpec.of("burst-gap", "DURATION", "500ms", "mean interval between the requests of a burst"),
                    OptionSpec.of("tokens", "COUNT", "32", "mean length of a response in tokens"),
                    OptionSpec.of("result", "FILE", "results/load.json", "file for the results")));

    @Override
    public String name() {
        return "load";
    }

    @Override
    public String summary() {
        return "sends a seeded workload to running nodes and measures the responses";
    }

    @Override
    public int run(List<String> arguments, PrintStream out, PrintStream err) {
        return OPTIONS.run(arguments, out, err, values -> sendWorkload(values, out, err));
    }

    private static int sendWorkload(OptionValues values, PrintStream out, PrintStream err) {
        List<String> nodes = values.addresses("nodes");
        values.require(!nodes.isEmpty(), "nodes", "must contain at least one address");
        String folder = values.text("config");
        Path result = Path.of(values.text("result"));
        WorkloadSpec spec = new WorkloadSpec(
                values.integer("seed", 0, Integer.MAX_VALUE),
                values.durationMillis("duration"),
                values.positiveNumber("rate"),
                serviceShare(values),
                values.positiveNumber("skew"),
                values.positiveNumber("burst"),
                values.durationMillis("burst-gap"),
                values.integer("tokens", 1, MAX_MEAN_TOKENS));
        values.throwIfInvalid();
        MergeResult merged = ConfigMerger.merge(0, ConfigDirectory.read(folder));
        if (!merged.errors().isEmpty()) {
            throw Reporter.configInvalid(merged.errorLines());
        }
        List<Arrival> arrivals = WorkloadGenerator.generate(merged.config(), spec);
        LoadReport report;
        try (ProgressBar bar = ExperimentRunner.progressBar("requests", arrivals.size(), err)) {
            report = LoadReport.of(new LoadRunner(nodes, arrivals, bar::stepTo).run());
        }
        ExperimentReport.writeJson(result, new Result(spec, report));
        print(report, out);
        out.println("Results were written to " + result + ".");
        return report.lost() == 0 ? EXIT_OK : EXIT_FAILED;
    }

    private static double serviceShare(OptionValues values) {
        if (values.text("service-share").equals("0")) {
            return 0;
        }
        double share = values.positiveNumber("service-share");
        values.require(share <= 1, "service-share", "must be at most 1");
        return share;
    }

    private static void print(LoadReport report, PrintStream out) {
        out.printf(
                "%d requests, %d good, %d late, %d lost%n",
                report.requests(), report.good(), report.late(), report.lost());
        TextTable table = new TextTable("WHAT", "COUNT", "P50 MS", "P95 MS", "P99 MS", "MAX MS");
        addRow(table, "first byte, cold start", report.coldStart());
        addRow(table, "first byte, warm", report.warm());
        addRow(table, "refusal", report.refusal());
        for (Map.Entry<String, Quantiles> byClass : report.wholeByClass().entrySet()) {
            addRow(table, "whole, " + byClass.getKey(), byClass.getValue());
        }
        table.print(out);
        report.refused().forEach((code, count) -> out.println("refused as " + code + ": " + count));
    }

    private static void addRow(TextTable table, String label, Quantiles quantiles) {
        table.add(
                label,
                quantiles.count(),
                quantiles.p50Millis(),
                quantiles.p95Millis(),
                quantiles.p99Millis(),
                quantiles.maxMillis());
    }

    private record Result(WorkloadSpec workload, LoadReport report) {}
}
