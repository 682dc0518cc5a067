package org.poplarwharf.internal.cli;

import java.util.List;
import org.poplarwharf.internal.load.WorkloadSpec;

/**
 * A reference deployment for experiments, with its workload. All durations are unscaled. Immutable and thread-safe.
 *
 * @param name name of the folder under {@code examples} that holds its configuration
 * @param storeLoadsPerSecond load rate limit of its weight store
 * @param requestsPerSecond mean request rate
 * @param serviceShare fraction of requests that go to services other than engines
 */
record ReferenceDeployment(String name, double storeLoadsPerSecond, double requestsPerSecond, double serviceShare) {
    private static final double POPULARITY_SKEW = 0.9;
    private static final double MEAN_BURST_REQUESTS = 3;
    private static final long MEAN_BURST_GAP_MILLIS = 2_000;
    private static final int MEAN_TOKENS = 24;

    static final List<ReferenceDeployment> ALL = List.of(
            new ReferenceDeployment("halvorsen", 1.5, 1.2, 0.2), new ReferenceDeployment("balkan", 3, 1.8, 0.2));

    /** Returns the workload for a seed. */
    WorkloadSpec workload(long seed, long durationMillis) {
        return new WorkloadSpec(
                seed,
                durationMillis,
                requestsPerSecond,
                serviceShare,
                POPULARITY_SKEW,
                MEAN_BURST_REQUESTS,
                MEAN_BURST_GAP_MILLIS,
                MEAN_TOKENS);
    }
}
