package org.poplarwharf.internal.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.poplarwharf.plugins.ReplicaSelector;

/**
 * Takes the replica with the smallest share of its places in use. Among equals it prefers the caller's availability zone.
 * A replica that served the same prompt prefix before is taken while it is not much busier than the least loaded one.
 *
 * <p>Invariant: remembers at most {@link #REMEMBERED_PREFIXES} prefixes. Belongs to the control thread.
 */
final class LeastLoadedSelector implements ReplicaSelector {
    private static final int REMEMBERED_PREFIXES = 4_096;
    private static final double AFFINITY_SLACK = 0.25;

    private final Map<Long, String> targetByPrefix = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, String> eldest) {
            return size() > REMEMBERED_PREFIXES;
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
        Candidate chosen = withAffinity(query, candidates, best);
        remember(query, chosen);
        return Optional.of(chosen);
    }

    private static boolean isBetter(Query query, Candidate candidate, Candidate best) {
        int byLoad = Double.compare(LoadEstimate.utilization(candidate), LoadEstimate.utilization(best));
        if (byLoad != 0) {
            return byLoad < 0;
        }
        return candidate.zone().equals(query.zone()) && !best.zone().equals(query.zone());
    }

    private Candidate withAffinity(Query query, List<Candidate> candidates, Candidate best) {
        if (query.prefixHash() == 0) {
            return best;
        }
        String known = targetByPrefix.get(query.prefixHash());
        if (known == null) {
            return best;
        }
        double limit = LoadEstimate.utilization(best) + AFFINITY_SLACK;
        for (Candidate candidate : candidates) {
            boolean usable = candidate.target().equals(known) && LoadEstimate.hasCapacity(candidate);
            if (usable && LoadEstimate.utilization(candidate) <= limit) {
                return candidate;
            }
        }
        return best;
    }

    private void remember(Query query, Candidate chosen) {
        if (query.prefixHash() != 0) {
            targetByPrefix.put(query.prefixHash(), chosen.target());
        }
    }
}
