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
 * The latest incarnation of each node that wrote to a cell's stream, and the VM that it named.
 *
 * <p>Invariants: an incarnation never goes back; beyond {@link #MAX_INACTIVE_NODES} nodes, those without open orders and without
 * the lease are forgotten. Belongs to the control thread.
 */
final class AuthorTable {
    static final int MAX_INACTIVE_NODES = 64;

    private final TreeMap<String, AuthorLocation> placements = new TreeMap<>();

    List<AuthorLocation> all() {
        return List.copyOf(placements.values());
    }

    Optional<AuthorLocation> find(String nodeId) {
        return Optional.ofNullable(placements.get(nodeId));
    }

    void restore(List<AuthorLocation> restored) {
        placements.clear();
        restored.forEach(placement -> placements.put(placement.author().nodeId(), placement));
    }

    /** Takes note of the author of a record. */
    void noteAuthor(CellRecord record, Iterable<Slot> slots, Optional<CellStateView.Lease> lease) {
        switch (record) {
            case CellRecord.LeaseClaimed claimed -> noteAuthor(claimed.holder());
            case CellRecord.AuthorPlaced placed -> placed(placed);
            case CellRecord.AuthorSteppedDown stood -> noteAuthor(stood.author());
            case CellRecord.LoadIntended intended -> noteAuthor(intended.author());
            case CellRecord.UnloadIntended intended -> noteAuthor(intended.author());
            case CellRecord.CallClaimed claimed -> noteAuthor(claimed.author());
            default -> {
                // Other records name no author.
            }
        }
        if (placements.size() > MAX_INACTIVE_NODES) {
            forgetIdle(slots, lease);
        }
    }

    private void noteAuthor(Author author) {
        if (isNewer(author)) {
            placements.put(author.nodeId(), new AuthorLocation(author, Optional.empty(), false));
        }
    }

    private void placed(CellRecord.AuthorPlaced placed) {
        noteAuthor(placed.author());
        AuthorLocation known = placements.get(placed.author().nodeId());
        if (known.author().equals(placed.author())) {
            boolean listed = placed.listed() || known.listed();
            placements.put(
                    placed.author().nodeId(), new AuthorLocation(placed.author(), Optional.of(placed.vmId()), listed));
        }
    }

    private boolean isNewer(Author author) {
        return find(author.nodeId())
                .filter(known -> known.author().incarnation() >= author.incarnation())
                .isEmpty();
    }

    private void forgetIdle(Iterable<Slot> slots, Optional<CellStateView.Lease> lease) {
        Set<String> kept = new HashSet<>();
        lease.ifPresent(held -> kept.add(held.holder().nodeId()));
        for (Slot slot : slots) {
            slot.openOrders().forEach(order -> kept.add(order.author().nodeId()));
        }
        placements.keySet().retainAll(kept);
    }
}
