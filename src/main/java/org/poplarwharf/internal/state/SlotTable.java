package org.poplarwharf.internal.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.poplarwharf.internal.state.CellRecord.AuthorSteppedDown;
import org.poplarwharf.internal.state.CellRecord.LoadIntended;
import org.poplarwharf.internal.state.CellRecord.UnloadIntended;
import org.poplarwharf.internal.state.CellStateView.OpenOrder;
import org.poplarwharf.internal.state.CellStateView.Slot;
import org.poplarwharf.internal.state.CellStateView.SlotPhase;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.EngineDialect.OrderKind;

/**
 * The slots of a cell and the orders that may still reach their targets.
 *
 * <p>Invariants: a slot is opened only if its bytes and its replica stay within the limits of its intent. It is closed
 * only when no order for it is open or its VM no longer exists. An adapter's slot never outlives the slot of its model
 * on the same target. Confined to the control thread.
 */
final class SlotTable {
    private final TreeMap<SlotKey, Slot> slots = new TreeMap<>();
    private final Map<String, Long> reservedBytes = new HashMap<>();
    private final Map<ArtifactId, Integer> replicaCount = new HashMap<>();

    private record SlotKey(String target, ArtifactId artifact) implements Comparable<SlotKey> {
        @Override
        public int compareTo(SlotKey other) {
            int byTarget = target.compareTo(other.target);
            return byTarget != 0 ? byTarget : artifact.compareTo(other.artifact);
        }
    }

    List<Slot> all() {
        return List.copyOf(slots.values());
    }

    Optional<Slot> find(String target, ArtifactId artifact) {
        return Optional.ofNullable(slots.get(new SlotKey(target, artifact)));
    }

    long reservedBytes(String target) {
        return reservedBytes.getOrDefault(target, 0L);
    }

    int replicaCount(ArtifactId artifact) {
        return replicaCount.getOrDefault(artifact, 0);
    }

    void restore(List<Slot> restored) {
        slots.clear();
        reservedBytes.clear();
        replicaCount.clear();
        restored.forEach(this::open);
    }

    FoldDecision intendLoad(long offset, LoadIntended intent) {
        OpenOrder order = new OpenOrder(offset, intent.epoch(), intent.author(), OrderKind.LOAD);
        Optional<Slot> existing = find(intent.target(), intent.artifact());
        return existing.isPresent() ? addLoadOrder(existing.get(), intent, order) : openSlot(intent, order);
    }

    private FoldDecision addLoadOrder(Slot slot, LoadIntended intent, OpenOrder order) {
        if (!slot.targetVmId().equals(intent.targetVmId())) {
            return FoldDecision.rejected("the slot belongs to VM " + slot.targetVmId());
        }
        if (!slot.version().equals(intent.version())) {
            return FoldDecision.rejected("the slot holds version " + slot.version());
        }
        if (slot.phase() == SlotPhase.UNLOADING) {
            return FoldDecision.rejected("the slot is being unloaded");
        }
        replace(withOpenOrder(slot, order, slot.phase()));
        return FoldDecision.ACCEPTED;
    }

    private FoldDecision openSlot(LoadIntended intent, OpenOrder order) {
        if (intent.sizeBytes() < 0) {
            return FoldDecision.rejected("the size is negative");
        }
        if (!hasBaseSlot(intent)) {
            return FoldDecision.rejected("the adapter's model has no slot on " + intent.target());
        }
        long freeBytes = intent.memoryLimitBytes() - reservedBytes(intent.target());
        if (intent.sizeBytes() > freeBytes) {
            return FoldDecision.rejected("target " + intent.target() + " has only " + freeBytes + " bytes free");
        }
        if (replicaCount(intent.artifact()) >= intent.replicaLimit()) {
            return FoldDecision.rejected("all " + intent.replicaLimit() + " replicas are taken");
        }
        open(new Slot(
                intent.target(),
                intent.targetVmId(),
                intent.artifact(),
                intent.version(),
                intent.sizeBytes(),
                intent.fencing(),
                SlotPhase.INTENDED,
                List.of(order)));
        return FoldDecision.ACCEPTED;
    }

    private boolean hasBaseSlot(LoadIntended intent) {
        if (intent.artifact().kind() != ArtifactId.Kind.ADAPTER) {
            return true;
        }
        return find(intent.target(), intent.artifact().base())
                .filter(base -> base.phase() != SlotPhase.UNLOADING)
                .filter(base -> base.targetVmId().equals(intent.targetVmId()))
                .isPresent();
    }

    FoldDecision intendUnload(long offset, UnloadIntended intent) {
        Optional<Slot> slot = find(intent.target(), intent.artifact());
        if (slot.isEmpty()) {
            return rejectMissingSlot(intent.target(), intent.artifact());
        }
        OpenOrder order = new OpenOrder(offset, intent.epoch(), intent.author(), OrderKind.UNLOAD);
        replace(withOpenOrder(slot.get(), order, SlotPhase.UNLOADING));
        return FoldDecision.ACCEPTED;
    }

    FoldDecision confirmLoad(String target, ArtifactId artifact) {
        Optional<Slot> slot = find(target, artifact);
        if (slot.isEmpty()) {
            return rejectMissingSlot(target, artifact);
        }
        if (slot.get().phase() == SlotPhase.UNLOADING) {
            return FoldDecision.rejected("the slot is being unloaded");
        }
        replace(withPhaseAndOrders(slot.get(), SlotPhase.LOADED, slot.get().openOrders()));
        return FoldDecision.ACCEPTED;
    }

    FoldDecision settle(long intentOffset) {
        return settleWhere(order -> order.intentOffset() == intentOffset)
                ? FoldDecision.ACCEPTED
                : FoldDecision.rejected("no order of intent " + intentOffset + " is open");
    }

    FoldDecision stepDown(AuthorSteppedDown record) {
        Set<Long> settledOffsets = new HashSet<>(record.answered());
        settledOffsets.addAll(record.neverSent());
        settleWhere(order -> order.author().equals(record.author())
                && order.epoch() <= record.throughEpoch()
                && settledOffsets.contains(order.intentOffset()));
        return FoldDecision.ACCEPTED;
    }

    private boolean settleWhere(Predicate<OpenOrder> isSettled) {
        boolean anySettled = false;
        for (Slot slot : all()) {
            List<OpenOrder> remaining =
                    slot.openOrders().stream().filter(isSettled.negate()).toList();
            if (remaining.size() < slot.openOrders().size()) {
                replace(withPhaseAndOrders(slot, slot.phase(), remaining));
                anySettled = true;
            }
        }
        return anySettled;
    }

    FoldDecision retire(String target, ArtifactId artifact) {
        Optional<Slot> slot = find(target, artifact);
        if (slot.isEmpty()) {
            return rejectMissingSlot(target, artifact);
        }
        if (!slot.get().openOrders().isEmpty()) {
            return FoldDecision.rejected("an order for the slot is open");
        }
        if (hasAdapters(target, artifact)) {
            return FoldDecision.rejected("adapters of the model have slots on " + target);
        }
        close(slot.get());
        return FoldDecision.ACCEPTED;
    }

    FoldDecision retireVm(String vmId) {
        all().stream().filter(slot -> slot.targetVmId().equals(vmId)).forEach(this::close);
        return FoldDecision.ACCEPTED;
    }

    private boolean hasAdapters(String target, ArtifactId model) {
        return slots.values().stream()
                .filter(slot -> slot.target().equals(target))
                .anyMatch(slot ->
                        !slot.artifact().equals(model) && slot.artifact().base().equals(model));
    }

    private static FoldDecision rejectMissingSlot(String target, ArtifactId artifact) {
        return FoldDecision.rejected(artifact + " has no slot on " + target);
    }

    private void open(Slot slot) {
        replace(slot);
        reservedBytes.merge(slot.target(), slot.sizeBytes(), Long::sum);
        replicaCount.merge(slot.artifact(), 1, Integer::sum);
    }

    private void replace(Slot slot) {
        slots.put(new SlotKey(slot.target(), slot.artifact()), slot);
    }

    private void close(Slot slot) {
        slots.remove(new SlotKey(slot.target(), slot.artifact()));
        reservedBytes.merge(slot.target(), -slot.sizeBytes(), Long::sum);
        replicaCount.merge(slot.artifact(), -1, Integer::sum);
    }

    private static Slot withOpenOrder(Slot slot, OpenOrder order, SlotPhase phase) {
        List<OpenOrder> orders = new ArrayList<>(slot.openOrders());
        orders.add(order);
        return withPhaseAndOrders(slot, phase, List.copyOf(orders));
    }

    private static Slot withPhaseAndOrders(Slot slot, SlotPhase phase, List<OpenOrder> orders) {
        return new Slot(
                slot.target(),
                slot.targetVmId(),
                slot.artifact(),
                slot.version(),
                slot.sizeBytes(),
                slot.fencing(),
                phase,
                orders);
    }
}
