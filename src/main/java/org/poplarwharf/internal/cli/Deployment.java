package org.poplarwharf.internal.cli;

import java.util.List;
import org.poplarwharf.internal.load.WorkloadSpec;

/**
 * A deployment of the brief with its workload, in its own time. Immutable and thread-safe.
 *
 * @param name the example folder that holds its configuration
 * @param storeLoadsPerSecond loads a second that its weight store allows
 * @param requestsPerSecond mean rate of requests
 * @param serviceShare the share of requests that go to plain services
 */
record Deployment(String name, double storeLoadsPerSecond, double requestsPerSecond, double serviceShare) {
    private static final double POPULARITY_SKEW = 0.9;
    private static final double BURST_REQUESTS = 3;
    private static final long BURST_GAP_MILLIS = 2_000;
    private static final int MEAN_TOKENS = 24;

    static final List<Deployment> ALL =
            List.of(new Deployment("halvorsen", 1.5, 1.2, 0.2), new Deployment("balkan", 3, 1.8, 0.2));

    /** Returns the workload of a seed. */
    WorkloadSpec workload(long seed, long durationMillis) {
        return new WorkloadSpec(
                seed,
                durationMillis,
                requestsPerSecond,
                serviceShare,
                POPULARITY_SKEW,
                BURST_REQUESTS,
                BURST_GAP_MILLIS,
                MEAN_TOKENS);
    }
}
