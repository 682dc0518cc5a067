package org.poplarwharf.internal.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.poplarwharf.plugins.ReplicaSelector;

/**
 * Draws two replicas at random and takes the less loaded one, which avoids herding when the counts are stale.
 *
 * <p>Belongs to the control thread.
 */
final class TwoChoicesSelector implements ReplicaSelector {
    private final UniformRandomProvider random;

    TwoChoicesSelector(long seed) {
        this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    }

    @Override
    public Optional<Candidate> select(Query query, List<Candidate> candidates) {
        List<Candidate> open = new ArrayList<>(candidates);
        open.removeIf(candidate -> !LoadEstimate.hasCapacity(candidate));
        if (open.isEmpty()) {
            return Optional.empty();
        }
        Candidate first = open.remove(random.nextInt(open.size()));
        if (open.isEmpty()) {
            return Optional.of(first);
        }
        Candidate second = open.get(random.nextInt(open.size()));
        boolean secondIsLess = LoadEstimate.utilization(second) < LoadEstimate.utilization(first);
        return Optional.of(secondIsLess ? second : first);
    }
}
