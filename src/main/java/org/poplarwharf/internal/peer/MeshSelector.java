package org.poplarwharf.internal.peer;

import java.util.Collection;
import java.util.Comparator;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Selects the known addresses to which a node keeps permanent connections: up to a fixed number, those that rendezvous
 * hashing ranks highest.
 *
 * <p>The ranking differs from node to node, so the nodes form a random graph, which stays connected with a few
 * connections per node. Failing addresses rank after all others. Confined to the control thread.
 */
final class MeshSelector {
    private static final Comparator<PeerDialSchedule> RANKING = Comparator.comparing(PeerDialSchedule::isFailing)
            .thenComparing(PeerDialSchedule::weight, (first, second) -> Long.compareUnsigned(second, first))
            .thenComparing(PeerDialSchedule::address);

    private final int maxConnections;
    private Set<PeerDialSchedule> selected = Set.of();
    private boolean isStale = true;

    MeshSelector(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /** Discards the selection after an address was added or removed, or failed or recovered. */
    void invalidate() {
        isStale = true;
    }

    Set<PeerDialSchedule> select(Collection<PeerDialSchedule> candidates) {
        if (isStale) {
            selected =
                    candidates.stream().sorted(RANKING).limit(maxConnections).collect(Collectors.toUnmodifiableSet());
            isStale = false;
        }
        return selected;
    }
}
