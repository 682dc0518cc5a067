package org.poplarwharf.internal.routing;

import java.util.List;
import java.util.Optional;
import org.poplarwharf.plugins.ReplicaSelector;

/**
 * Takes the replica with the shortest predicted latency: its smoothed service time, stretched by the share of its places
 * in use, as the latency term in RouteBalance (section 4).
 *
 * <p>Belongs to the control thread.
 */
final class ShortestLatencySelector implements ReplicaSelector {
    /** A target that has not answered yet counts as this fast, so that it is tried. */
    private static final double UNKNOWN_SERVICE_MILLIS = 1;

    @Override
    public Optional<Candidate> select(Query query, List<Candidate> candidates) {
        Candidate best = null;
        for (Candidate candidate : candidates) {
            if (!LoadEstimate.hasCapacity(candidate)) {
                continue;
            }
            if (best == null || predictedMillis(candidate) < predictedMillis(best)) {
                best = candidate;
            }
        }
        return Optional.ofNullable(best);
    }

    private static double predictedMillis(Candidate candidate) {
        double serviceMillis = Math.max(UNKNOWN_SERVICE_MILLIS, candidate.serviceMillis());
        return serviceMillis * (1 + LoadEstimate.utilization(candidate));
    }
}
