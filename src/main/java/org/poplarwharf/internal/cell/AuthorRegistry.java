package org.poplarwharf.internal.cell;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellRecord.Author;
import org.poplarwharf.plugins.VmList.Vm;

/**
 * Knows which authors of orders can't send any more because their process is gone.
 *
 * <p>Invariant: an author is gone only when a later incarnation of its node wrote a record, or when the VM that it named
 * itself was listed and then left out of several lists in a row. An absence alone, or a VM listed under the author's
 * name, proves nothing, because the list lags. Belongs to the control thread.
 */
final class AuthorRegistry {
    /** Consecutive lists without a VM after which it is gone for good. */
    static final int ABSENT_LISTS = 3;

    private final Map<String, Long> latestIncarnations = new HashMap<>();
    private final Map<Author, String> vmIds = new HashMap<>();
    private final Map<String, Integer> absences = new HashMap<>();

    /** Takes note of the authors that a record names. */
    void met(CellRecord record) {
        switch (record) {
            case CellRecord.LeaseClaimed claimed -> met(claimed.holder());
            case CellRecord.AuthorPlaced placed -> {
                met(placed.author());
                vmIds.put(placed.author(), placed.vmId());
            }
            case CellRecord.StoodDown stood -> met(stood.author());
            case CellRecord.LoadIntended intended -> met(intended.author());
            case CellRecord.UnloadIntended intended -> met(intended.author());
            case CellRecord.CallClaimed claimed -> met(claimed.author());
            default -> {
                // Other records name no author.
            }
        }
    }

    private void met(Author author) {
        latestIncarnations.merge(author.nodeId(), author.incarnation(), Math::max);
    }

    /** Takes a fresh list; one that failed to arrive must not be passed on. */
    void listed(List<Vm> vms) {
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

    boolean gone(Author author) {
        if (latestIncarnations.getOrDefault(author.nodeId(), author.incarnation()) > author.incarnation()) {
            return true;
        }
        return absences.getOrDefault(vmIds.getOrDefault(author, ""), 0) >= ABSENT_LISTS;
    }
}
