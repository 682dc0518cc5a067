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
 * <p>Invariant: an author is gone only when a later incarnation of its node wrote a record, or when a VM that was listed
 * under its name since its incarnation was met has left the list for good. An absence from the list alone proves
 * nothing, because the list lags. Belongs to the control thread.
 */
final class AuthorRegistry {
    /** Consecutive lists without a VM after which it is gone for good. */
    static final int ABSENT_LISTS = 3;

    private final Map<String, Long> latestIncarnations = new HashMap<>();
    private final Map<Author, String> vmIds = new HashMap<>();
    private final Map<String, Integer> absences = new HashMap<>();
    private final Set<String> goneVmIds = new HashSet<>();

    /** Takes note of the authors that a record names. */
    void met(CellRecord record) {
        switch (record) {
            case CellRecord.LeaseClaimed claimed -> met(claimed.holder());
            case CellRecord.StoodDown stood -> met(stood.author());
            case CellRecord.LoadIntended intended -> met(intended.author());
            case CellRecord.UnloadIntended intended -> met(intended.author());
            case CellRecord.CallClaimed claimed -> met(claimed.author());
            default -> {
                // Other records name no author.
            }
        }
    }

    void met(Author author) {
        latestIncarnations.merge(author.nodeId(), author.incarnation(), Math::max);
        vmIds.putIfAbsent(author, "");
    }

    /** Takes a fresh list; one that failed to arrive must not be passed on. */
    void listed(List<Vm> vms) {
        Map<String, String> byName = new HashMap<>();
        Set<String> present = new HashSet<>();
        for (Vm vm : vms) {
            byName.put(vm.name(), vm.vmId());
            present.add(vm.vmId());
        }
        vmIds.replaceAll((author, vmId) -> vmId.isEmpty() ? byName.getOrDefault(author.nodeId(), "") : vmId);
        for (String vmId : new HashSet<>(vmIds.values())) {
            if (vmId.isEmpty()) {
                continue;
            }
            int absent = present.contains(vmId) ? 0 : absences.getOrDefault(vmId, 0) + 1;
            absences.put(vmId, absent);
            if (absent >= ABSENT_LISTS) {
                goneVmIds.add(vmId);
            }
        }
    }

    boolean gone(Author author) {
        if (latestIncarnations.getOrDefault(author.nodeId(), author.incarnation()) > author.incarnation()) {
            return true;
        }
        return goneVmIds.contains(vmIds.getOrDefault(author, ""));
    }
}
