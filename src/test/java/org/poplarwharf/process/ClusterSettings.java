package org.poplarwharf.process;

import java.util.List;

/**
 * What a cluster of processes is made of. Immutable.
 *
 * @param enginesWithoutFencing how many of the engines, the last ones, ignore fencing numbers
 * @param zones availability zones, over which nodes and engines are spread in turn
 * @param engineOptions further options of each engine, for example its pace
 * @param nodeOptions options of each node beside its names and addresses
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
    private static final List<String> NODE_OPTIONS = List.of(
            "--store-loads-per-second", "1.5",
            "--store-full-speed-places", "4",
            "--lease", "3s",
            "--renew", "1s",
            "--drift", "200ms",
            "--engine-report", "200ms",
            "--keep-alive", "60s",
            "--progress-timeout", "5s",
            "--drain", "10s");

    /** Returns a cluster with the usual options. */
    public static ClusterSettings of(int nodes, int engines) {
        return new ClusterSettings(nodes, engines, 0, 1, List.of(), List.of(), List.of(), NODE_OPTIONS);
    }

    /** Returns the same cluster spread over some availability zones. */
    public ClusterSettings withZones(int count) {
        return new ClusterSettings(
                nodes, engines, enginesWithoutFencing, count, logOptions, storeOptions, engineOptions, nodeOptions);
    }

    /** Returns the same cluster with other options for its nodes. */
    public ClusterSettings withNodeOptions(List<String> options) {
        return new ClusterSettings(
                nodes, engines, enginesWithoutFencing, zones, logOptions, storeOptions, engineOptions, options);
    }

    /** Returns the same cluster with further options for its engines. */
    public ClusterSettings withEngineOptions(List<String> options) {
        return new ClusterSettings(
                nodes, engines, enginesWithoutFencing, zones, logOptions, storeOptions, options, nodeOptions);
    }

    /** Returns the same cluster, whose last engines ignore fencing numbers. */
    public ClusterSettings withEnginesWithoutFencing(int count) {
        return new ClusterSettings(nodes, engines, count, zones, logOptions, storeOptions, engineOptions, nodeOptions);
    }

    /** Returns the same cluster with further options for its log. */
    public ClusterSettings withLogOptions(List<String> options) {
        return new ClusterSettings(
                nodes, engines, enginesWithoutFencing, zones, options, storeOptions, engineOptions, nodeOptions);
    }

    /** Returns the same cluster with further options for its weight store. */
    public ClusterSettings withStoreOptions(List<String> options) {
        return new ClusterSettings(
                nodes, engines, enginesWithoutFencing, zones, logOptions, options, engineOptions, nodeOptions);
    }
}
