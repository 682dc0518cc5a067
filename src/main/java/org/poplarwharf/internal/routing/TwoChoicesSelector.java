package org.poplarwharf.internal.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.poplarwharf.plugins.ReplicaSelector;

/**
 * Draws two replicas at random and selects the less loaded one, which avoids herding when the counts are stale.
 *
 * <p>Confined to the control thread.
 */
final class TwoChoicesSelector implements ReplicaSelector {
    private final UniformRandomProvider random;

    TwoChoicesSelector(long seed) {
        this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    }

    @Override
    public Optional<Candidate> select(Query query, List<Candidate> candidates) {
        List<Candidate> available = new ArrayList<>(candidates);
        available.removeIf(candidate -> !LoadEstimate.hasCapacity(candidate));
        if (available.isEmpty()) {
            return Optional.empty();
        }
        Candidate first = available.remove(random.nextInt(available.size()));
        if (available.isEmpty()) {
            return Optional.of(first);
        }
        Candidate second = available.get(random.nextInt(available.size()));
        boolean isSecondLessLoaded = LoadEstimate.utilization(second) < LoadEstimate.utilization(first);
        return Optional.of(isSecondLessLoaded ? second : first);
    }
}
