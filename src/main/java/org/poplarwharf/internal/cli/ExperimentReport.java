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
 * What an experiment with idle policies found. Immutable and thread-safe.
 *
 * @param traceMillis length of the trace in the deployment's time
 * @param boundIdleHours the idle accelerator hours that perfect foresight needs
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
    private static final int WIDTH_PIXELS = 720;
    private static final int HEIGHT_PIXELS = 440;
    private static final ObjectMapper MAPPER =
            new ObjectMapper().registerModule(new Jdk8Module()).enable(SerializationFeature.INDENT_OUTPUT);

    /** Writes a value as JSON. */
    static void writeJson(Path file, Object value) {
        try {
            if (file.toAbsolutePath().getParent() != null) {
                Files.createDirectories(file.toAbsolutePath().getParent());
            }
            MAPPER.writeValue(file.toFile(), value);
        } catch (IOException e) {
            throw Reporter.internal("Writing " + file, e);
        }
    }

    /** Writes the results, the page and its chart into a folder. */
    void write(Path folder) {
        writeJson(folder.resolve(name() + ".json"), this);
        try {
            BitmapEncoder.saveBitmap(chart(), folder.resolve(name() + ".png").toString(), BitmapFormat.PNG);
            Files.writeString(folder.resolve(name() + ".md"), page());
        } catch (IOException e) {
            throw Reporter.internal("Writing into " + folder, e);
        }
    }

    private String name() {
        return "idle-" + deployment;
    }

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
            table.add(cells(point));
        }
        table.print(out);
        out.println();
        out.println(boundLine());
        verdicts.forEach(verdict -> out.println(line(verdict)));
    }

    private String page() {
        StringBuilder page = new StringBuilder("# Idle policies on " + deployment + "\n\n");
        page.append(String.format(
                Locale.ROOT,
                "Seed %d, %d requests in %.0f s of the deployment's time, %.0f times as fast.%n%n",
                seed,
                requests,
                traceMillis / MILLIS_PER_SECOND,
                timeScale));
        page.append("![trade-off](").append(name()).append(".png)\n\n");
        page.append("| policy | keep-alive s | idle h | cold | refused | p50 s | p95 s | p99 s | answered p99 s "
                + "| all p99 s | loads | breaches |\n");
        page.append("|---|---|---|---|---|---|---|---|---|---|---|---|\n");
        for (OperatingPoint point : points) {
            page.append("| ");
            for (Object cell : cells(point)) {
                page.append(cell).append(" | ");
            }
            page.setLength(page.length() - 1);
            page.append('\n');
        }
        page.append('\n').append(boundLine()).append('\n');
        verdicts.forEach(verdict -> page.append('\n').append(line(verdict)).append('\n'));
        return page.toString();
    }

    private static Object[] cells(OperatingPoint point) {
        return new Object[] {
            point.policy(),
            point.keepAliveMillis() / (long) MILLIS_PER_SECOND,
            String.format(Locale.ROOT, "%.3f", point.idleHours()),
            point.coldStarts().answered(),
            point.coldStarts().refused(),
            seconds(point.coldStarts().p50Millis()),
            seconds(point.coldStarts().p95Millis()),
            seconds(point.coldStarts().p99Millis()),
            seconds(point.coldStarts().answeredP99Millis()),
            seconds(point.coldStarts().allP99Millis()),
            point.loads(),
            point.breaches()
        };
    }

    private static String seconds(double millis) {
        return String.format(Locale.ROOT, "%.1f", millis / MILLIS_PER_SECOND);
    }

    private String boundLine() {
        double least =
                points.stream().mapToDouble(OperatingPoint::idleHours).min().orElse(0);
        return String.format(
                Locale.ROOT,
                "Perfect foresight: %.3f idle h with no wait above %s s; the least measured is %.1f times that.",
                boundIdleHours,
                seconds(bound.longestWaitMillis()),
                least / boundIdleHours);
    }

    private static String line(BaselineComparison verdict) {
        return verdict.policy() + " against fixed: p99 at equal idle hours " + ratio(verdict.p99Ratio())
                + (verdict.meetsLatencyGoal() ? " (met)" : " (missed)") + ", idle hours at equal p99 "
                + ratio(verdict.idleRatio()) + (verdict.meetsIdleTimeGoal() ? " (met)" : " (missed)");
    }

    private static String ratio(OptionalDouble ratio) {
        return ratio.isPresent() ? String.format(Locale.ROOT, "%.2f", ratio.getAsDouble()) : "not comparable";
    }

    private XYChart chart() {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH_PIXELS)
                .height(HEIGHT_PIXELS)
                .title(deployment + ", seed " + seed)
                .xAxisTitle("idle accelerator hours")
                .yAxisTitle("cold-start first byte p95 and p99, s")
                .build();
        PolicyComparison tradeOff = new PolicyComparison(points);
        points.stream().map(OperatingPoint::policy).distinct().forEach(policy -> {
            List<OperatingPoint> own = tradeOff.pointsOf(policy).stream()
                    .sorted(java.util.Comparator.comparingDouble(OperatingPoint::idleHours))
                    .toList();
            List<Double> idle = own.stream().map(OperatingPoint::idleHours).toList();
            chart.addSeries(
                    policy + " p99",
                    idle,
                    own.stream()
                            .map(point -> point.coldStarts().p99Millis() / MILLIS_PER_SECOND)
                            .toList());
            chart.addSeries(
                    policy + " p95",
                    idle,
                    own.stream()
                            .map(point -> point.coldStarts().p95Millis() / MILLIS_PER_SECOND)
                            .toList());
        });
        chart.addSeries(
                "perfect foresight", List.of(boundIdleHours), List.of(bound.longestWaitMillis() / MILLIS_PER_SECOND));
        return chart;
    }
}
