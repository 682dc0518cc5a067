package org.poplarwharf.internal.load;

/**
 * The parameters of a generated workload. Immutable and thread-safe.
 *
 * @param seed seed of the random generator
 * @param durationMillis time during which requests arrive
 * @param requestsPerSecond mean rate over all models, adapters and services
 * @param serviceShare fraction of the requests that go to plain services, from 0 to 1
 * @param popularitySkew exponent of the Zipf distribution of artifact popularity
 * @param burstRequests mean number of requests in a burst for one artifact
 * @param burstGapMillis mean time between the requests of a burst
 * @param maxTokens mean length of a response in tokens
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
