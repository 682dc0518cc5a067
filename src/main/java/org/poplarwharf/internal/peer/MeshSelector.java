package org.poplarwharf.internal.peer;

import java.util.Collection;
import java.util.Comparator;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Which of the known addresses a node keeps links to: a bounded number that rendezvous hashing ranks first for it.
 *
 * <p>Each node draws its own, so that the nodes form one random graph, which a few links a node hold together. Addresses
 * that fail rank behind all others. Belongs to the control thread.
 */
final class MeshSelector {
    private static final Comparator<PeerDialSchedule> ORDER = Comparator.comparing(PeerDialSchedule::isFailing)
            .thenComparing(PeerDialSchedule::weight, (one, other) -> Long.compareUnsigned(other, one))
            .thenComparing(PeerDialSchedule::address);

    private final int links;
    private Set<PeerDialSchedule> select = Set.of();
    private boolean stale = true;

    MeshSelector(int links) {
        this.links = links;
    }

    /** An address came, went, failed or recovered. */
    void invalidate() {
        stale = true;
    }

    Set<PeerDialSchedule> select(Collection<PeerDialSchedule> known) {
        if (stale) {
            select = known.stream().sorted(ORDER).limit(links).collect(Collectors.toUnmodifiableSet());
            stale = false;
        }
        return select;
    }
}
