package org.poplarwharf.internal.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.poplarwharf.plugins.VmList;
import org.poplarwharf.plugins.VmList.Vm;
import org.poplarwharf.plugins.VmList.VmState;

/**
 * Polls the VM list of the platform.
 *
 * <p>Invariant: a VM counts as permanently removed only when it was listed before and was then missing from several
 * consecutive lists. A failed fetch changes nothing. Confined to the control thread.
 */
final class VmListPoller {
    private static final long HOLDER_POLL_MILLIS = 1_000;
    /**
     * Longer than for a holder, because the list contains every VM of the fleet and only a holder acts on it
     * immediately.
     */
    private static final long FOLLOWER_POLL_MILLIS = 5_000;

    private final VmList list;
    private final List<Consumer<List<Vm>>> listeners = new ArrayList<>();
    private final Map<String, Vm> seenVms = new HashMap<>();
    private final Map<String, Integer> absentListCounts = new HashMap<>();
    private Map<String, Vm> vmsByName = Map.of();
    private long pollMillis = HOLDER_POLL_MILLIS;
    private boolean pollPending;
    private long lastPollMillis = Long.MIN_VALUE / 2;

    VmListPoller(VmList list) {
        this.list = list;
    }

    void onList(Consumer<List<Vm>> listener) {
        listeners.add(listener);
    }

    /**
     * Sets whether this node holds the lease of a cell. A new holder fetches a list immediately if its last one is
     * old.
     */
    void setHolder(boolean holder) {
        pollMillis = holder ? HOLDER_POLL_MILLIS : FOLLOWER_POLL_MILLIS;
    }

    void tick(long nowMillis) {
        if (pollPending || nowMillis - lastPollMillis < pollMillis) {
            return;
        }
        pollPending = true;
        lastPollMillis = nowMillis;
        list.list().whenComplete((vms, failure) -> {
            pollPending = false;
            if (failure == null) {
                onVmList(vms);
            }
        });
    }

    /** Returns the VM that is listed under a node id or target name. */
    Optional<Vm> find(String name) {
        return Optional.ofNullable(vmsByName.get(name));
    }

    boolean isLeaving(String name) {
        return find(name).filter(vm -> vm.state() == VmState.LEAVING).isPresent();
    }

    /** Returns the VMs that were removed permanently. */
    List<Vm> permanentlyRemovedVms() {
        return seenVms.values().stream()
                .filter(vm -> absentListCounts.getOrDefault(vm.vmId(), 0)
                        >= AuthorLivenessTracker.GONE_AFTER_ABSENT_LIST_COUNT)
                .toList();
    }

    /** Returns the names of all live VMs. */
    Set<String> liveNames() {
        Set<String> names = new HashSet<>();
        for (Vm vm : vmsByName.values()) {
            if (vm.state() == VmState.LIVE) {
                names.add(vm.name());
            }
        }
        return names;
    }

    private void onVmList(List<Vm> vms) {
        Map<String, Vm> listedByName = new HashMap<>();
        Set<String> present = new HashSet<>();
        for (Vm vm : vms) {
            listedByName.put(vm.name(), vm);
            present.add(vm.vmId());
            seenVms.put(vm.vmId(), vm);
        }
        vmsByName = listedByName;
        for (String vmId : seenVms.keySet()) {
            absentListCounts.put(vmId, present.contains(vmId) ? 0 : absentListCounts.getOrDefault(vmId, 0) + 1);
        }
        listeners.forEach(listener -> listener.accept(vms));
    }
}
