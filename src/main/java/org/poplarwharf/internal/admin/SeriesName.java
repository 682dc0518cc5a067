package org.poplarwharf.internal.admin;

import io.prometheus.metrics.model.snapshots.Labels;
import io.prometheus.metrics.model.snapshots.PrometheusNaming;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The Prometheus name and labels of a metric that the registry knows by one dotted name. Immutable and thread-safe.
 */
record SeriesName(String family, Labels labels) {
    private static final String PREFIX = "poplarwharf_";
    private static final Pattern TIME = Pattern.compile("(\\w+_millis)\\.(tenant|class)\\.([^.]+)");
    private static final Pattern LABELLED = Pattern.compile("(\\w+)\\.([^.]+)");
    private static final Map<String, String> LABEL_OF_FAMILY = Map.of(
            "refusals", "code",
            "loads", "outcome",
            "lease_state", "cell",
            "idle_accelerator_seconds", "target");

    /** Returns the series that a registry name stands for; a name of no known form has no labels. */
    static SeriesName parse(String name) {
        Matcher time = TIME.matcher(name);
        if (time.matches()) {
            String dimension = time.group(2);
            return new SeriesName(PREFIX + dimension + "_" + time.group(1), Labels.of(dimension, time.group(3)));
        }
        Matcher labelled = LABELLED.matcher(name);
        if (labelled.matches() && LABEL_OF_FAMILY.containsKey(labelled.group(1))) {
            String label = LABEL_OF_FAMILY.get(labelled.group(1));
            return new SeriesName(PREFIX + labelled.group(1), Labels.of(label, labelled.group(2)));
        }
        String clean =
                PrometheusNaming.sanitizeMetricName(name.replace('.', '_').replace('-', '_'));
        return new SeriesName(PREFIX + clean, Labels.EMPTY);
    }
}
