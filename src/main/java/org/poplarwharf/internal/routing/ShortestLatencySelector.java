package org.poplarwharf.internal.routing;

import java.util.List;
import java.util.Optional;
import org.poplarwharf.plugins.ReplicaSelector;

/**
 * Selects the replica with the shortest predicted latency: its smoothed service time multiplied by one plus its
 * utilization, as in the latency term of RouteBalance (section 4).
 *
 * <p>Confined to the control thread.
 */
final class ShortestLatencySelector implements ReplicaSelector {
    /** Service time assumed for a target without samples. It is low, so that the target gets tried. */
    private static final double DEFAULT_SERVICE_MILLIS = 1;

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
        double serviceMillis = Math.max(DEFAULT_SERVICE_MILLIS, candidate.serviceMillis());
        return serviceMillis * (1 + LoadEstimate.utilization(candidate));
    }
}
