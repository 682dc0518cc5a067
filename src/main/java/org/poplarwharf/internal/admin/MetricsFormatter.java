package org.poplarwharf.internal.admin;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.codahale.metrics.Snapshot;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.poplarwharf.internal.failure.Reporter;

/** Formats the metrics of a registry as Prometheus text and as JSON values. Thread-safe. */
final class MetricsFormatter {
    private final MetricRegistry metrics;

    MetricsFormatter(MetricRegistry metrics) {
        this.metrics = metrics;
    }

    /** One metric in the JSON form. Durations are in the unit that the metric's name ends with. */
    record MetricValue(String kind, double value, long count, double p50, double p95, double p99, double max) {}

    /** Returns the metrics in the Prometheus text format. */
    byte[] prometheusText() {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try {
            new PrometheusTextFormatWriter(false).write(text, PrometheusSnapshots.collect(metrics));
        } catch (IOException e) {
            throw Reporter.internal("The metrics endpoint", e);
        }
        return text.toByteArray();
    }

    /** Returns the metrics by name, in alphabetical order. */
    SortedMap<String, MetricValue> values() {
        SortedMap<String, MetricValue> values = new TreeMap<>();
        for (Map.Entry<String, Metric> entry : metrics.getMetrics().entrySet()) {
            values.put(entry.getKey(), toMetricValue(entry.getValue()));
        }
        return values;
    }

    private static MetricValue toMetricValue(Metric metric) {
        if (metric instanceof Gauge<?> gauge && gauge.getValue() instanceof Number number) {
            return new MetricValue("gauge", number.doubleValue(), 0, 0, 0, 0, 0);
        }
        long count = metric instanceof Counting counting ? counting.getCount() : 0;
        if (metric instanceof Sampling sampling) {
            Snapshot snapshot = sampling.getSnapshot();
            return new MetricValue(
                    "histogram",
                    snapshot.getMean(),
                    count,
                    snapshot.getMedian(),
                    snapshot.get95thPercentile(),
                    snapshot.get99thPercentile(),
                    snapshot.getMax());
        }
        return new MetricValue("counter", count, count, 0, 0, 0, 0);
    }
}
