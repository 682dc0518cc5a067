package org.poplarwharf.internal.load;

/**
 * What a workload looks like. Immutable and thread-safe.
 *
 * @param durationMillis how long requests arrive
 * @param requestsPerSecond mean rate over all artifacts and services
 * @param serviceShare the share of requests that go to plain services
 * @param popularitySkew exponent of the Zipf law of the artifacts' popularity
 * @param burstRequests mean number of requests in a burst for one artifact
 * @param burstGapMillis mean gap between the requests of a burst
 * @param maxTokens mean length of an answer
 */
public record WorkloadSpec(
        long seed,
        long durationMillis,
        double requestsPerSecond,
        double serviceShare,
        double popularitySkew,
        double burstRequests,
        long burstGapMillis,
        int maxTokens) {}
