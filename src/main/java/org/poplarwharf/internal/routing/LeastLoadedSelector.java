package org.poplarwharf.internal.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.poplarwharf.plugins.ReplicaSelector;

/**
 * Selects the replica with the lowest utilization. Prefers the caller's availability zone among equals. A replica
 * that served the same prompt prefix before is selected while its utilization is close to that of the least loaded
 * one.
 *
 * <p>Invariant: stores at most {@link #MAX_PREFIX_COUNT} prefixes. Confined to the control thread.
 */
final class LeastLoadedSelector implements ReplicaSelector {
    private static final int MAX_PREFIX_COUNT = 4_096;
    private static final double AFFINITY_SLACK_RATIO = 0.25;

    private final Map<Long, String> targetByPrefix = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, String> eldest) {
            return size() > MAX_PREFIX_COUNT;
        }
    };

    @Override
    public Optional<Candidate> select(Query query, List<Candidate> candidates) {
        Candidate best = null;
        for (Candidate candidate : candidates) {
            if (!LoadEstimate.hasCapacity(candidate)) {
                continue;
            }
            if (best == null || isBetter(query, candidate, best)) {
                best = candidate;
            }
        }
        if (best == null) {
            return Optional.empty();
        }
        Candidate chosen = applyPrefixAffinity(query, candidates, best);
        storePrefix(query, chosen);
        return Optional.of(chosen);
    }

    private static boolean isBetter(Query query, Candidate candidate, Candidate best) {
        int byLoad = Double.compare(LoadEstimate.utilization(candidate), LoadEstimate.utilization(best));
        if (byLoad != 0) {
            return byLoad < 0;
        }
        return candidate.zone().equals(query.zone()) && !best.zone().equals(query.zone());
    }

    private Candidate applyPrefixAffinity(Query query, List<Candidate> candidates, Candidate best) {
        if (query.prefixHash() == 0) {
            return best;
        }
        String affineTarget = targetByPrefix.get(query.prefixHash());
        if (affineTarget == null) {
            return best;
        }
        double maxUtilization = LoadEstimate.utilization(best) + AFFINITY_SLACK_RATIO;
        for (Candidate candidate : candidates) {
            boolean usable = candidate.target().equals(affineTarget) && LoadEstimate.hasCapacity(candidate);
            if (usable && LoadEstimate.utilization(candidate) <= maxUtilization) {
                return candidate;
            }
        }
        return best;
    }

    private void storePrefix(Query query, Candidate chosen) {
        if (query.prefixHash() != 0) {
            targetByPrefix.put(query.prefixHash(), chosen.target());
        }
    }
}
