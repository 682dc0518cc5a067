package org.poplarwharf.process;

import java.util.List;

/**
 * The size and options of a {@link Cluster}. Immutable.
 *
 * @param enginesWithoutFencing how many engines ignore fencing numbers; these are the last ones
 * @param zones number of availability zones; nodes and engines are assigned to them round robin
 * @param engineOptions additional options of each engine, such as its token rate
 * @param nodeOptions options of each node other than its names and addresses
 */
public record ClusterSettings(
        int nodes,
        int engines,
        int enginesWithoutFencing,
        int zones,
        List<String> logOptions,
        List<String> storeOptions,
        List<String> engineOptions,
        List<String> nodeOptions) {
    private static final List<String> DEFAULT_NODE_OPTIONS = List.of(
            "--store-loads-per-second", "1.5",
            "--store-full-speed-places", "4",
            "--lease", "3s",
            "--renew", "1s",
            "--drift", "200ms",
            "--engine-report", "200ms",
            "--keep-alive", "60s",
            "--progress-timeout", "5s",
            "--drain", "13s");

    /** Returns settings with the default options. */
    public static ClusterSettings of(int nodes, int engines) {
        return new ClusterSettings(nodes, engines, 0, 1, List.of(), List.of(), List.of(), DEFAULT_NODE_OPTIONS);
    }

    /** Returns a copy with this number of availability zones. */
    public ClusterSettings withZones(int count) {
        return new ClusterSettings(
                nodes, engines, enginesWithoutFencing, count, logOptions, storeOptions, engineOptions, nodeOptions);
    }

    /** Returns a copy with these node options instead of the current ones. */
    public ClusterSettings withNodeOptions(List<String> options) {
        return new ClusterSettings(
                nodes, engines, enginesWithoutFencing, zones, logOptions, storeOptions, engineOptions, options);
    }

    /** Returns a copy with these additional options for the engines. */
    public ClusterSettings withEngineOptions(List<String> options) {
        return new ClusterSettings(
                nodes, engines, enginesWithoutFencing, zones, logOptions, storeOptions, options, nodeOptions);
    }

    /** Returns a copy in which the last {@code count} engines ignore fencing numbers. */
    public ClusterSettings withEnginesWithoutFencing(int count) {
        return new ClusterSettings(nodes, engines, count, zones, logOptions, storeOptions, engineOptions, nodeOptions);
    }

    /** Returns a copy with these additional options for the log. */
    public ClusterSettings withLogOptions(List<String> options) {
        return new ClusterSettings(
                nodes, engines, enginesWithoutFencing, zones, options, storeOptions, engineOptions, nodeOptions);
    }

    /** Returns a copy with these additional options for the weight store. */
    public ClusterSettings withStoreOptions(List<String> options) {
        return new ClusterSettings(
                nodes, engines, enginesWithoutFencing, zones, logOptions, options, engineOptions, nodeOptions);
    }
}
