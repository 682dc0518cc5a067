package org.poplarwharf.internal.routing;

import java.util.List;
import java.util.Optional;
import org.poplarwharf.plugins.ReplicaSelector;

/**
 * Selects replicas in turn, skipping those at their concurrency limit. Serves as the baseline for other policies.
 *
 * <p>Confined to the control thread.
 */
final class RoundRobinSelector implements ReplicaSelector {
    private int nextIndex;

    @Override
    public Optional<Candidate> select(Query query, List<Candidate> candidates) {
        for (int step = 0; step < candidates.size(); step++) {
            Candidate candidate = candidates.get(Math.floorMod(nextIndex, candidates.size()));
            nextIndex++;
            if (LoadEstimate.hasCapacity(candidate)) {
                return Optional.of(candidate);
            }
        }
        return Optional.empty();
    }
}
