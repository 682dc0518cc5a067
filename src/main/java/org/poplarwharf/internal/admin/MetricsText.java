package org.poplarwharf.internal.admin;

import com.codahale.metrics.MetricRegistry;

/** The metrics of a process in the text form of Prometheus. Stateless and thread-safe. */
public final class MetricsText {
    private MetricsText() {}

    public static byte[] of(MetricRegistry metrics) {
        return new MetricsPage(metrics).prometheusText();
    }
}
