package org.poplarwharf.process;

import java.util.List;

/**
 * What a cluster of processes is made of. Immutable.
 *
 * @param zones availability zones, over which nodes and engines are spread in turn
 * @param engineOptions further options of each engine, for example its pace
 * @param nodeOptions options of each node beside its names and addresses
 */
public record ClusterSettings(
        int nodes,
        int engines,
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
        return new ClusterSettings(nodes, engines, 1, List.of(), List.of(), List.of(), NODE_OPTIONS);
    }

    /** Returns the same cluster spread over some availability zones. */
    public ClusterSettings withZones(int count) {
        return new ClusterSettings(nodes, engines, count, logOptions, storeOptions, engineOptions, nodeOptions);
    }

    /** Returns the same cluster with other options for its nodes. */
    public ClusterSettings withNodeOptions(List<String> options) {
        return new ClusterSettings(nodes, engines, zones, logOptions, storeOptions, engineOptions, options);
    }

    /** Returns the same cluster with further options for its engines. */
    public ClusterSettings withEngineOptions(List<String> options) {
        return new ClusterSettings(nodes, engines, zones, logOptions, storeOptions, options, nodeOptions);
    }
}
