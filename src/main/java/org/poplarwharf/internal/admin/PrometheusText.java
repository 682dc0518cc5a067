package org.poplarwharf.internal.admin;

import com.codahale.metrics.MetricRegistry;

/** Formats metrics in the Prometheus text format. Stateless and thread-safe. */
public final class PrometheusText {
    private PrometheusText() {}

    /** Returns the metrics of a registry as text, encoded in UTF-8. */
    public static byte[] of(MetricRegistry metrics) {
        return new MetricsFormatter(metrics).prometheusText();
    }
}
