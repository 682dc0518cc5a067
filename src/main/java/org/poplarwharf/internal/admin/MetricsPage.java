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

/** Shows a node's metrics as Prometheus text and as JSON. Thread-safe. */
final class MetricsPage {
    private final MetricRegistry metrics;

    MetricsPage(MetricRegistry metrics) {
        this.metrics = metrics;
    }

    /** One metric in the JSON form; times are in the unit of the metric's name. */
    record Value(String kind, double value, long count, double p50, double p95, double p99, double max) {}

    /** Returns the metrics in the text form of Prometheus. */
    byte[] prometheusText() {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try {
            new PrometheusTextFormatWriter(false).write(text, PrometheusFamilies.read(metrics));
        } catch (IOException e) {
            throw Reporter.internal("The metrics page", e);
        }
        return text.toByteArray();
    }

    /** Returns the metrics by name. */
    SortedMap<String, Value> values() {
        SortedMap<String, Value> values = new TreeMap<>();
        for (Map.Entry<String, Metric> entry : metrics.getMetrics().entrySet()) {
            values.put(entry.getKey(), value(entry.getValue()));
        }
        return values;
    }

    private static Value value(Metric metric) {
        if (metric instanceof Gauge<?> gauge && gauge.getValue() instanceof Number number) {
            return new Value("gauge", number.doubleValue(), 0, 0, 0, 0, 0);
        }
        long count = metric instanceof Counting counting ? counting.getCount() : 0;
        if (metric instanceof Sampling sampling) {
            Snapshot snapshot = sampling.getSnapshot();
            return new Value(
                    "histogram",
                    snapshot.getMean(),
                    count,
                    snapshot.getMedian(),
                    snapshot.get95thPercentile(),
                    snapshot.get99thPercentile(),
                    snapshot.getMax());
        }
        return new Value("counter", count, count, 0, 0, 0, 0);
    }
}
