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
final class PeerMesh {
    private static final Comparator<PeerDialler> ORDER = Comparator.comparing(PeerDialler::failing)
            .thenComparing(PeerDialler::weight, (one, other) -> Long.compareUnsigned(other, one))
            .thenComparing(PeerDialler::address);

    private final int links;
    private Set<PeerDialler> chosen = Set.of();
    private boolean stale = true;

    PeerMesh(int links) {
        this.links = links;
    }

    /** An address came, went, failed or recovered. */
    void changed() {
        stale = true;
    }

    Set<PeerDialler> chosen(Collection<PeerDialler> known) {
        if (stale) {
            chosen = known.stream().sorted(ORDER).limit(links).collect(Collectors.toUnmodifiableSet());
            stale = false;
        }
        return chosen;
    }
}
