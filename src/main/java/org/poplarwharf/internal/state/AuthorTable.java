package org.poplarwharf.internal.state;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.poplarwharf.internal.state.CellRecord.Author;
import org.poplarwharf.internal.state.CellStateView.AuthorLocation;
import org.poplarwharf.internal.state.CellStateView.Slot;

/**
 * Tracks, for each node that wrote to a cell's stream, its latest incarnation and the VM that it reported.
 *
 * <p>Invariants: the incarnation of a node never decreases. When more than {@link #MAX_INACTIVE_NODES} nodes are known,
 * nodes that neither have open orders nor hold the lease are removed. Confined to the control thread.
 */
final class AuthorTable {
    static final int MAX_INACTIVE_NODES = 64;

    private final TreeMap<String, AuthorLocation> locations = new TreeMap<>();

    List<AuthorLocation> all() {
        return List.copyOf(locations.values());
    }

    Optional<AuthorLocation> find(String nodeId) {
        return Optional.ofNullable(locations.get(nodeId));
    }

    void restore(List<AuthorLocation> restored) {
        locations.clear();
        restored.forEach(location -> locations.put(location.author().nodeId(), location));
    }

    /** Updates the table with the author of a record. */
    void noteAuthor(CellRecord record, Iterable<Slot> slots, Optional<CellStateView.Lease> lease) {
        switch (record) {
            case CellRecord.LeaseClaimed claimed -> noteIncarnation(claimed.holder());
            case CellRecord.AuthorPlaced located -> updateLocation(located);
            case CellRecord.AuthorSteppedDown steppedDown -> noteIncarnation(steppedDown.author());
            case CellRecord.LoadIntended intended -> noteIncarnation(intended.author());
            case CellRecord.UnloadIntended intended -> noteIncarnation(intended.author());
            case CellRecord.CallClaimed claimed -> noteIncarnation(claimed.author());
            default -> {
                // The other records have no author.
            }
        }
        if (locations.size() > MAX_INACTIVE_NODES) {
            removeInactive(slots, lease);
        }
    }

    private void noteIncarnation(Author author) {
        if (isNewer(author)) {
            locations.put(author.nodeId(), new AuthorLocation(author, Optional.empty(), false));
        }
    }

    private void updateLocation(CellRecord.AuthorPlaced located) {
        noteIncarnation(located.author());
        AuthorLocation known = locations.get(located.author().nodeId());
        if (known.author().equals(located.author())) {
            boolean listed = located.listed() || known.listed();
            locations.put(
                    located.author().nodeId(),
                    new AuthorLocation(located.author(), Optional.of(located.vmId()), listed));
        }
    }

    private boolean isNewer(Author author) {
        return find(author.nodeId())
                .filter(known -> known.author().incarnation() >= author.incarnation())
                .isEmpty();
    }

    private void removeInactive(Iterable<Slot> slots, Optional<CellStateView.Lease> lease) {
        Set<String> activeNodes = new HashSet<>();
        lease.ifPresent(held -> activeNodes.add(held.holder().nodeId()));
        for (Slot slot : slots) {
            slot.openOrders().forEach(order -> activeNodes.add(order.author().nodeId()));
        }
        locations.keySet().retainAll(activeNodes);
    }
}
