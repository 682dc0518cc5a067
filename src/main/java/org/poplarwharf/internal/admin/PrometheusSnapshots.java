package org.poplarwharf.internal.admin;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.codahale.metrics.Snapshot;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.CounterSnapshot.CounterDataPointSnapshot;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot.GaugeDataPointSnapshot;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import io.prometheus.metrics.model.snapshots.MetricSnapshots;
import io.prometheus.metrics.model.snapshots.Quantiles;
import io.prometheus.metrics.model.snapshots.SummarySnapshot;
import io.prometheus.metrics.model.snapshots.SummarySnapshot.SummaryDataPointSnapshot;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Converts the metrics of a registry to Prometheus metric families, each with one series per label value.
 *
 * <p>Not thread-safe; a new instance is created for each scrape.
 */
final class PrometheusSnapshots {
    private static final double[] QUANTILES = {0.5, 0.95, 0.99, 0.999};

    private final Map<String, SummarySnapshot.Builder> summaries = new TreeMap<>();
    private final Map<String, GaugeSnapshot.Builder> gauges = new TreeMap<>();
    private final Map<String, CounterSnapshot.Builder> counters = new TreeMap<>();

    private PrometheusSnapshots() {}

    /** Returns snapshots of all metrics of a registry. */
    static MetricSnapshots collect(MetricRegistry registry) {
        PrometheusSnapshots collector = new PrometheusSnapshots();
        registry.getMetrics().forEach((name, metric) -> collector.add(SeriesName.parse(name), metric));
        return collector.build();
    }

    private void add(SeriesName name, Metric metric) {
        if (metric instanceof Gauge<?> gauge) {
            addGauge(name, gauge);
        } else if (metric instanceof Sampling sampling && metric instanceof Counting counting) {
            addSummary(name, sampling.getSnapshot(), counting.getCount());
        } else if (metric instanceof Counting counting) {
            counters.computeIfAbsent(
                            name.family(), family -> CounterSnapshot.builder().name(family))
                    .dataPoint(CounterDataPointSnapshot.builder()
                            .labels(name.labels())
                            .value(counting.getCount())
                            .build());
        }
    }

    private void addGauge(SeriesName name, Gauge<?> gauge) {
        if (gauge.getValue() instanceof Number value) {
            gauges.computeIfAbsent(
                            name.family(), family -> GaugeSnapshot.builder().name(family))
                    .dataPoint(GaugeDataPointSnapshot.builder()
                            .labels(name.labels())
                            .value(value.doubleValue())
                            .build());
        }
    }

    private void addSummary(SeriesName name, Snapshot snapshot, long count) {
        Quantiles.Builder quantiles = Quantiles.builder();
        for (double quantile : QUANTILES) {
            quantiles.quantile(quantile, snapshot.getValue(quantile));
        }
        summaries
                .computeIfAbsent(
                        name.family(), family -> SummarySnapshot.builder().name(family))
                .dataPoint(SummaryDataPointSnapshot.builder()
                        .labels(name.labels())
                        .count(count)
                        .quantiles(quantiles.build())
                        .build());
    }

    private MetricSnapshots build() {
        List<MetricSnapshot> all = new ArrayList<>();
        summaries.values().forEach(family -> all.add(family.build()));
        gauges.values().forEach(family -> all.add(family.build()));
        counters.values().forEach(family -> all.add(family.build()));
        return new MetricSnapshots(all);
    }
}
