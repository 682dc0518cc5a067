package org.poplarwharf.internal.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.OptionalDouble;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.load.OfflineLowerBound;
import org.poplarwharf.internal.load.PolicyComparison;
import org.poplarwharf.internal.load.PolicyComparison.BaselineComparison;
import org.poplarwharf.internal.load.PolicyComparison.OperatingPoint;

/**
 * The results of an idle policy experiment. Immutable and thread-safe.
 *
 * @param traceMillis length of the trace, unscaled
 * @param boundIdleHours offline lower bound of the idle accelerator hours: no policy can have less
 */
record ExperimentReport(
        String deployment,
        long seed,
        double timeScale,
        long traceMillis,
        int requests,
        List<OperatingPoint> points,
        OfflineLowerBound bound,
        double boundIdleHours,
        List<BaselineComparison> verdicts) {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final int CHART_WIDTH_PIXELS = 720;
    private static final int CHART_HEIGHT_PIXELS = 440;
    private static final ObjectMapper JSON =
            new ObjectMapper().registerModule(new Jdk8Module()).enable(SerializationFeature.INDENT_OUTPUT);

    /** Writes a value to a file as indented JSON. */
    static void writeJson(Path file, Object value) {
        try {
            if (file.toAbsolutePath().getParent() != null) {
                Files.createDirectories(file.toAbsolutePath().getParent());
            }
            JSON.writeValue(file.toFile(), value);
        } catch (IOException e) {
            throw Reporter.internal("Writing " + file, e);
        }
    }

    /** Writes the results as JSON, and a Markdown page with a chart, to a directory. */
    void write(Path folder) {
        writeJson(folder.resolve(baseName() + ".json"), this);
        try {
            BitmapEncoder.saveBitmap(
                    chart(), folder.resolve(baseName() + ".png").toString(), BitmapFormat.PNG);
            Files.writeString(folder.resolve(baseName() + ".md"), markdownPage());
        } catch (IOException e) {
            throw Reporter.internal("Writing into " + folder, e);
        }
    }

    private String baseName() {
        return "idle-" + deployment;
    }

    /** Prints the results as text. */
    void print(PrintStream out) {
        TextTable table = new TextTable(
                "POLICY",
                "KEEP-ALIVE S",
                "IDLE H",
                "COLD",
                "REFUSED",
                "P50 S",
                "P95 S",
                "P99 S",
                "ANSWERED P99 S",
                "ALL P99 S",
                "LOADS",
                "BREACHES");
        for (OperatingPoint point : points) {
            table.add(rowCells(point));
        }
        table.print(out);
        out.println();
        out.println(boundLine());
        verdicts.forEach(comparison -> out.println(formatComparison(comparison)));
    }

    private String markdownPage() {
        StringBuilder page = new StringBuilder("# Idle policies on " + deployment + "\n\n");
        page.append(String.format(
                Locale.ROOT,
                "Seed %d, %d requests in %.0f s before scaling; all durations are divided by %.0f.%n%n",
                seed,
                requests,
                traceMillis / MILLIS_PER_SECOND,
                timeScale));
        page.append("![trade-off](").append(baseName()).append(".png)\n\n");
        page.append("| policy | keep-alive s | idle h | cold | refused | p50 s | p95 s | p99 s | answered p99 s "
                + "| all p99 s | loads | breaches |\n");
        page.append("|---|---|---|---|---|---|---|---|---|---|---|---|\n");
        for (OperatingPoint point : points) {
            page.append("| ");
            for (Object cell : rowCells(point)) {
                page.append(cell).append(" | ");
            }
            page.setLength(page.length() - 1);
            page.append('\n');
        }
        page.append('\n').append(boundLine()).append('\n');
        verdicts.forEach(comparison ->
                page.append('\n').append(formatComparison(comparison)).append('\n'));
        return page.toString();
    }

    private static Object[] rowCells(OperatingPoint point) {
        return new Object[] {
            point.policy(),
            point.keepAliveMillis() / (long) MILLIS_PER_SECOND,
            String.format(Locale.ROOT, "%.3f", point.idleHours()),
            point.coldStarts().answered(),
            point.coldStarts().refused(),
            formatSeconds(point.coldStarts().p50Millis()),
            formatSeconds(point.coldStarts().p95Millis()),
            formatSeconds(point.coldStarts().p99Millis()),
            formatSeconds(point.coldStarts().answeredP99Millis()),
            formatSeconds(point.coldStarts().allP99Millis()),
            point.loads(),
            point.breaches()
        };
    }

    private static String formatSeconds(double millis) {
        return String.format(Locale.ROOT, "%.1f", millis / MILLIS_PER_SECOND);
    }

    private String boundLine() {
        double minIdleHours =
                points.stream().mapToDouble(OperatingPoint::idleHours).min().orElse(0);
        return String.format(
                Locale.ROOT,
                "Offline lower bound: %.3f idle h with no wait above %s s; the lowest result is %.1f times the bound.",
                boundIdleHours,
                formatSeconds(bound.longestWaitMillis()),
                minIdleHours / boundIdleHours);
    }

    private static String formatComparison(BaselineComparison comparison) {
        return comparison.policy() + " compared with fixed: p99 at equal idle hours "
                + formatRatio(comparison.p99Ratio())
                + (comparison.meetsLatencyGoal() ? " (met)" : " (missed)") + ", idle hours at equal p99 "
                + formatRatio(comparison.idleRatio()) + (comparison.meetsIdleTimeGoal() ? " (met)" : " (missed)");
    }

    private static String formatRatio(OptionalDouble ratio) {
        return ratio.isPresent() ? String.format(Locale.ROOT, "%.2f", ratio.getAsDouble()) : "not comparable";
    }

    private XYChart chart() {
        XYChart chart = new XYChartBuilder()
                .width(CHART_WIDTH_PIXELS)
                .height(CHART_HEIGHT_PIXELS)
                .title(deployment + ", seed " + seed)
                .xAxisTitle("idle accelerator hours")
                .yAxisTitle("cold-start first byte p95 and p99, s")
                .build();
        PolicyComparison comparison = new PolicyComparison(points);
        points.stream().map(OperatingPoint::policy).distinct().forEach(policy -> {
            List<OperatingPoint> policyPoints = comparison.pointsOf(policy).stream()
                    .sorted(java.util.Comparator.comparingDouble(OperatingPoint::idleHours))
                    .toList();
            List<Double> idleHours =
                    policyPoints.stream().map(OperatingPoint::idleHours).toList();
            chart.addSeries(
                    policy + " p99",
                    idleHours,
                    policyPoints.stream()
                            .map(point -> point.coldStarts().p99Millis() / MILLIS_PER_SECOND)
                            .toList());
            chart.addSeries(
                    policy + " p95",
                    idleHours,
                    policyPoints.stream()
                            .map(point -> point.coldStarts().p95Millis() / MILLIS_PER_SECOND)
                            .toList());
        });
        chart.addSeries(
                "offline lower bound", List.of(boundIdleHours), List.of(bound.longestWaitMillis() / MILLIS_PER_SECOND));
        return chart;
    }
}
