package org.poplarwharf.internal.admin;

import io.prometheus.metrics.model.snapshots.Labels;
import io.prometheus.metrics.model.snapshots.PrometheusNaming;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The Prometheus family name and labels that a dotted registry name maps to. Immutable and thread-safe.
 */
record SeriesName(String family, Labels labels) {
    private static final String PREFIX = "poplarwharf_";
    private static final Pattern DURATION = Pattern.compile("(\\w+_millis)\\.(tenant|class)\\.([^.]+)");
    private static final Pattern LABELLED = Pattern.compile("(\\w+)\\.([^.]+)");
    private static final Map<String, String> LABEL_BY_FAMILY = Map.of(
            "refusals", "code",
            "loads", "outcome",
            "lease_state", "cell",
            "idle_accelerator_seconds", "target",
            "account_requests_admitted", "account",
            "account_units_used", "account",
            "account_requests_over_quota", "account");

    /** Returns the series for a registry name. A name that matches no known pattern gets no labels. */
    static SeriesName parse(String name) {
        Matcher duration = DURATION.matcher(name);
        if (duration.matches()) {
            String dimension = duration.group(2);
            return new SeriesName(
                    PREFIX + dimension + "_" + duration.group(1), Labels.of(dimension, duration.group(3)));
        }
        Matcher labelled = LABELLED.matcher(name);
        if (labelled.matches() && LABEL_BY_FAMILY.containsKey(labelled.group(1))) {
            String label = LABEL_BY_FAMILY.get(labelled.group(1));
            return new SeriesName(PREFIX + labelled.group(1), Labels.of(label, labelled.group(2)));
        }
        String sanitized =
                PrometheusNaming.sanitizeMetricName(name.replace('.', '_').replace('-', '_'));
        return new SeriesName(PREFIX + sanitized, Labels.EMPTY);
    }
}
