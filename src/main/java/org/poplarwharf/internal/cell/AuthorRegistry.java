package org.poplarwharf.internal.cell;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.poplarwharf.internal.state.CellRecord.Author;
import org.poplarwharf.internal.state.CellStateView;
import org.poplarwharf.internal.state.CellStateView.Placement;
import org.poplarwharf.plugins.VmList.Vm;

/**
 * Knows which authors of orders can't send any more because their process is gone.
 *
 * <p>Invariant: an author is gone only when a later incarnation of its node wrote a record, or when the VM that it named
 * itself was listed, as this node or the author has seen, and then left out of several lists in a row. An absence alone, or
 * a VM listed under the author's name, proves nothing, because the list lags. Belongs to the control thread.
 */
final class AuthorRegistry {
    /** Consecutive lists without a VM after which it is gone for good. */
    static final int ABSENT_LISTS = 3;

    private final CellStateView state;
    private final Map<String, Integer> absences = new HashMap<>();

    AuthorRegistry(CellStateView state) {
        this.state = state;
    }

    /** Takes a fresh list; one that failed to arrive must not be passed on. */
    void listed(List<Vm> vms) {
        for (Placement placement : state.placements()) {
            placement.vmId().filter(vmId -> placement.listed()).ifPresent(vmId -> absences.putIfAbsent(vmId, 0));
        }
        Set<String> present = new HashSet<>();
        for (Vm vm : vms) {
            present.add(vm.vmId());
            absences.put(vm.vmId(), 0);
        }
        for (String vmId : Set.copyOf(absences.keySet())) {
            if (!present.contains(vmId)) {
                absences.merge(vmId, 1, Integer::sum);
            }
        }
    }

    /** Tells whether the last list had a VM. */
    boolean lists(String vmId) {
        return absences.getOrDefault(vmId, ABSENT_LISTS) == 0;
    }

    boolean gone(Author author) {
        Optional<Placement> found = state.placement(author.nodeId());
        if (found.isEmpty()) {
            return false;
        }
        Placement latest = found.get();
        if (latest.author().incarnation() != author.incarnation()) {
            return latest.author().incarnation() > author.incarnation();
        }
        return latest.vmId()
                .filter(vmId -> absences.getOrDefault(vmId, 0) >= ABSENT_LISTS)
                .isPresent();
    }
}
