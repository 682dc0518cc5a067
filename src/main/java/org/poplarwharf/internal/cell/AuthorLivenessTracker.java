package org.poplarwharf.internal.cell;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.poplarwharf.internal.state.CellRecord.Author;
import org.poplarwharf.internal.state.CellStateView;
import org.poplarwharf.internal.state.CellStateView.AuthorLocation;
import org.poplarwharf.plugins.VmList.Vm;

/**
 * Tracks which authors of orders can no longer send because their process has ended.
 *
 * <p>Invariant: an author counts as ended only in two cases. Either a later incarnation of its node wrote a record, or
 * the VM that the author recorded for itself was listed, as seen by this node or by the author, and was then missing
 * from several consecutive lists. A single absence, or a VM listed under the author's name, proves nothing, because
 * the VM list lags. Confined to the control thread.
 */
final class AuthorLivenessTracker {
    /** Number of consecutive lists without a VM after which the VM counts as permanently removed. */
    static final int GONE_AFTER_ABSENT_LIST_COUNT = 3;

    private final CellStateView state;
    private final Map<String, Integer> absentListCounts = new HashMap<>();

    AuthorLivenessTracker(CellStateView state) {
        this.state = state;
    }

    /**
     * Processes a newly fetched list. A failed fetch must not be reported here, because it would count as an absence.
     */
    void onVmList(List<Vm> vms) {
        for (AuthorLocation location : state.authorLocations()) {
            location.vmId().filter(vmId -> location.listed()).ifPresent(vmId -> absentListCounts.putIfAbsent(vmId, 0));
        }
        Set<String> present = new HashSet<>();
        for (Vm vm : vms) {
            present.add(vm.vmId());
            absentListCounts.put(vm.vmId(), 0);
        }
        for (String vmId : Set.copyOf(absentListCounts.keySet())) {
            if (!present.contains(vmId)) {
                absentListCounts.merge(vmId, 1, Integer::sum);
            }
        }
    }

    /** Returns whether the most recent list contained the VM. */
    boolean isListed(String vmId) {
        return absentListCounts.getOrDefault(vmId, GONE_AFTER_ABSENT_LIST_COUNT) == 0;
    }

    /** Returns whether the process of the author has ended, so that it can send no more orders. */
    boolean isGone(Author author) {
        Optional<AuthorLocation> location = state.authorLocation(author.nodeId());
        if (location.isEmpty()) {
            return false;
        }
        AuthorLocation latest = location.get();
        if (latest.author().incarnation() != author.incarnation()) {
            return latest.author().incarnation() > author.incarnation();
        }
        return latest.vmId()
                .filter(vmId -> absentListCounts.getOrDefault(vmId, 0) >= GONE_AFTER_ABSENT_LIST_COUNT)
                .isPresent();
    }
}
