package org.poplarwharf.plugins;

import java.util.List;
import java.util.Optional;

/**
 * Picks the replica that runs a request.
 *
 * <p>Called from the control thread only; an implementation may keep state without locks.
 */
public interface ReplicaSelector {
    /** Returns the replica to use, or empty when none has a free place. */
    Optional<Candidate> select(Query query, List<Candidate> candidates);

    /** Makes selectors, one for each cell. The extension point under which a routing policy registers. */
    interface Factory {
        ReplicaSelector create(long seed);
    }

    /**
     * What is known of the request.
     *
     * @param zone the availability zone of the node that holds the caller's connection
     * @param prefixHash a hash of the prompt's beginning, zero when unknown
     */
    record Query(ArtifactId artifact, String zone, long prefixHash) {}

    /**
     * What is known of a replica.
     *
     * @param inFlight requests granted here and not yet finished, by the holder's own count
     * @param reportedLoad running and queued requests as last reported by the engine, which lags
     * @param reportAgeMillis age of that report
     * @param serviceMillis smoothed service time
     */
    record Candidate(
            String target,
            String zone,
            int inFlight,
            int maxConcurrent,
            int reportedLoad,
            long reportAgeMillis,
            double serviceMillis) {}
}
