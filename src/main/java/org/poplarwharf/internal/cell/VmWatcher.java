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
 * Follows the platform's list of VMs.
 *
 * <p>Invariant: a VM counts as gone only when it was listed before and then left out of several lists in a row. A failed
 * fetch changes nothing. Belongs to the control thread.
 */
final class VmWatcher {
    private static final long HOLDER_POLL_MILLIS = 1_000;
    /** The list carries every VM of the fleet, and only a holder acts on it at once. */
    private static final long FOLLOWER_POLL_MILLIS = 5_000;

    private final VmList list;
    private final List<Consumer<List<Vm>>> listeners = new ArrayList<>();
    private final Map<String, Vm> seen = new HashMap<>();
    private final Map<String, Integer> absences = new HashMap<>();
    private Map<String, Vm> byName = Map.of();
    private long pollMillis = HOLDER_POLL_MILLIS;
    private boolean polling;
    private long polledMillis = Long.MIN_VALUE / 2;

    VmWatcher(VmList list) {
        this.list = list;
    }

    void onList(Consumer<List<Vm>> listener) {
        listeners.add(listener);
    }

    /** Tells whether this node holds a cell; one that begins to asks for a list at once if its own is old. */
    void holding(boolean holds) {
        pollMillis = holds ? HOLDER_POLL_MILLIS : FOLLOWER_POLL_MILLIS;
    }

    void tick(long nowMillis) {
        if (polling || nowMillis - polledMillis < pollMillis) {
            return;
        }
        polling = true;
        polledMillis = nowMillis;
        list.list().whenComplete((vms, failure) -> {
            polling = false;
            if (failure == null) {
                listed(vms);
            }
        });
    }

    /** Returns the VM that is listed under a node id or target name. */
    Optional<Vm> vm(String name) {
        return Optional.ofNullable(byName.get(name));
    }

    boolean leaving(String name) {
        return vm(name).filter(vm -> vm.state() == VmState.LEAVING).isPresent();
    }

    /** Returns the VMs that are gone for good. */
    List<Vm> gone() {
        return seen.values().stream()
                .filter(vm -> absences.getOrDefault(vm.vmId(), 0) >= AuthorRegistry.ABSENT_LISTS)
                .toList();
    }

    /** Returns the names of all live VMs. */
    Set<String> liveNames() {
        Set<String> names = new HashSet<>();
        for (Vm vm : byName.values()) {
            if (vm.state() == VmState.LIVE) {
                names.add(vm.name());
            }
        }
        return names;
    }

    private void listed(List<Vm> vms) {
        Map<String, Vm> fresh = new HashMap<>();
        Set<String> present = new HashSet<>();
        for (Vm vm : vms) {
            fresh.put(vm.name(), vm);
            present.add(vm.vmId());
            seen.put(vm.vmId(), vm);
        }
        byName = fresh;
        for (String vmId : seen.keySet()) {
            absences.put(vmId, present.contains(vmId) ? 0 : absences.getOrDefault(vmId, 0) + 1);
        }
        listeners.forEach(listener -> listener.accept(vms));
    }
}
