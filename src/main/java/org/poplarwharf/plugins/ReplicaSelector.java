package org.poplarwharf.plugins;

import java.util.List;
import java.util.Optional;

/**
 * Selects the replica that runs a request.
 *
 * <p>Called on the control thread only; an implementation may keep state without locks.
 */
public interface ReplicaSelector {
    /** Returns the replica to use, or empty if none has a free permit. */
    Optional<Candidate> select(Query query, List<Candidate> candidates);

    /** Creates selectors, one for each cell. The extension point that routing policies register under. */
    interface Factory {
        ReplicaSelector create(long seed);
    }

    /**
     * The properties of a request that selection may depend on.
     *
     * @param zone the availability zone of the node that the caller is connected to
     * @param prefixHash a hash of the start of the prompt; zero if unknown
     */
    record Query(ArtifactId artifact, String zone, long prefixHash) {}

    /**
     * A replica that may run the request.
     *
     * @param inFlight requests in flight that this lease holder granted, by its own count
     * @param reportedLoad running and queued requests in the engine's last report, which lags behind the actual load
     * @param reportAgeMillis the age of that report
     * @param serviceMillis the smoothed service time of its requests
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
