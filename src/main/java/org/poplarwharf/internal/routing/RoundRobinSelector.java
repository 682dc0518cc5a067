package org.poplarwharf.internal.routing;

import java.util.List;
import java.util.Optional;
import org.poplarwharf.plugins.ReplicaSelector;

/**
 * Takes replicas in turn, whatever their load; the baseline that other policies are compared with.
 *
 * <p>Belongs to the control thread.
 */
final class RoundRobinSelector implements ReplicaSelector {
    private int next;

    @Override
    public Optional<Candidate> select(Query query, List<Candidate> candidates) {
        for (int step = 0; step < candidates.size(); step++) {
            Candidate candidate = candidates.get(Math.floorMod(next, candidates.size()));
            next++;
            if (LoadEstimate.hasCapacity(candidate)) {
                return Optional.of(candidate);
            }
        }
        return Optional.empty();
    }
}
