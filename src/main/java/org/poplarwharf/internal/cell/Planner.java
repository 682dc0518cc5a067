package org.poplarwharf.internal.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.poplarwharf.internal.cell.PlanAction.Load;
import org.poplarwharf.internal.cell.PlanAction.Reason;
import org.poplarwharf.internal.cell.PlanAction.Unload;
import org.poplarwharf.internal.cell.PlanInput.Demand;
import org.poplarwharf.internal.cell.PlanInput.PlanTarget;
import org.poplarwharf.internal.cell.PlanInput.SlotKey;
import org.poplarwharf.internal.config.FleetConfig.ModelSpec;
import org.poplarwharf.internal.state.CellStateView.Phase;
import org.poplarwharf.internal.state.CellStateView.Slot;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.ArtifactId.Kind;

/**
 * Decides which artifact is to be loaded or unloaded where, for one cell at one moment.
 *
 * <p>Invariants: every slot counts, whatever its phase; the planned loads keep within each target's memory and each
 * artifact's share; a slot with requests in flight is never unloaded; loads come in the order of their urgency. One
 * instance serves one plan and one thread.
 */
final class Planner {
    private final PlanInput input;
    private final List<PlanAction> actions = new ArrayList<>();
    private final Map<String, Long> takenBytes = new HashMap<>();
    private final Set<SlotKey> unloading = new HashSet<>();

    private Planner(PlanInput input) {
        this.input = input;
        for (Slot slot : input.slots()) {
            takenBytes.merge(slot.target(), slot.sizeBytes(), Long::sum);
            if (slot.phase() == Phase.UNLOADING) {
                unloading.add(SlotKey.of(slot));
            }
        }
    }

    /** Returns the steps wanted now, unloads first, loads by urgency. */
    static List<PlanAction> plan(PlanInput input) {
        Planner planner = new Planner(input);
        planner.unloadUnwanted();
        planner.unloadSurplus();
        planner.unloadIdle();
        planner.loadWanted();
        return List.copyOf(planner.actions);
    }

    private void unloadUnwanted() {
        for (Slot slot : input.slots()) {
            Optional<Reason> reason = unwanted(slot);
            reason.ifPresent(why -> unload(slot, why));
        }
    }

    private Optional<Reason> unwanted(Slot slot) {
        Optional<ReplicaShare> share = ReplicaShare.of(input.config(), slot.artifact(), input.cell());
        if (share.isEmpty()) {
            return Optional.of(Reason.NOT_CONFIGURED);
        }
        if (!share.get().version().equals(slot.version())) {
            return Optional.of(Reason.OTHER_VERSION);
        }
        boolean permitted = input.target(slot.target())
                .map(target ->
                        !target.leaving() && ReplicaShare.permits(share.get().model(), target.spec()))
                .orElse(false);
        return permitted ? Optional.empty() : Optional.of(Reason.NOT_PERMITTED);
    }

    private void unloadSurplus() {
        Set<ArtifactId> artifacts = new TreeSet<>();
        input.slots().forEach(slot -> artifacts.add(slot.artifact()));
        for (ArtifactId artifact : artifacts) {
            int limit = ReplicaShare.of(input.config(), artifact, input.cell())
                    .map(ReplicaShare::limit)
                    .orElse(0);
            List<Slot> staying = staying(artifact);
            for (int i = 0; i < staying.size() - limit; i++) {
                unload(staying.get(i), Reason.TOO_MANY);
            }
        }
    }

    private void unloadIdle() {
        for (Slot slot : input.slots()) {
            if (slot.phase() != Phase.LOADED || !input.useOf(slot).expired()) {
                continue;
            }
            if (input.demandOf(slot.artifact()).waiting() > 0 || keptForMinimum(slot)) {
                continue;
            }
            unload(slot, Reason.IDLE);
        }
    }

    private boolean keptForMinimum(Slot slot) {
        int minimum = ReplicaShare.of(input.config(), slot.artifact(), input.cell())
                .map(ReplicaShare::minimum)
                .orElse(0);
        return staying(slot.artifact()).size() <= minimum;
    }

    /** Returns the slots of an artifact that are not being unloaded, the least worth keeping first. */
    private List<Slot> staying(ArtifactId artifact) {
        return input.slots().stream()
                .filter(slot -> slot.artifact().equals(artifact))
                .filter(slot -> !unloading.contains(SlotKey.of(slot)))
                .sorted(Comparator.comparingDouble(
                                (Slot slot) -> input.useOf(slot).keepWorth())
                        .thenComparing(Slot::target))
                .toList();
    }

    /** Plans an unload; a base waits until the adapters on it are gone. */
    private boolean unload(Slot slot, Reason reason) {
        if (unloading.contains(SlotKey.of(slot)) || input.useOf(slot).inFlight() > 0) {
            return false;
        }
        List<Slot> adapters = adaptersOn(slot);
        for (Slot adapter : adapters) {
            unload(adapter, reason);
        }
        if (!adapters.isEmpty()) {
            return false;
        }
        unloading.add(SlotKey.of(slot));
        actions.add(new Unload(slot, reason));
        return true;
    }

    private List<Slot> adaptersOn(Slot base) {
        if (base.artifact().kind() != Kind.MODEL) {
            return List.of();
        }
        return input.slots().stream()
                .filter(slot -> slot.target().equals(base.target()))
                .filter(slot -> slot.artifact().kind() == Kind.ADAPTER)
                .filter(slot -> slot.artifact().base().equals(base.artifact()))
                .toList();
    }

    private void loadWanted() {
        List<Want> wants = new ArrayList<>();
        Map<ArtifactId, Demand> demand = demandWithBases();
        for (ArtifactId artifact : candidates(demand)) {
            want(artifact, demand).ifPresent(wants::add);
        }
        wants.sort(Comparator.comparingInt((Want want) -> -want.demand().highestPriority())
                .thenComparingInt(want -> -want.share().priority())
                .thenComparingLong(want -> want.demand().earliestDeadlineMillis())
                .thenComparingInt(want -> -want.demand().waiting())
                .thenComparing(want -> want.share().artifact()));
        for (Want want : wants) {
            place(want);
        }
    }

    /** Returns what may need a load: all that is asked for, and the models that stay loaded without requests. */
    private Set<ArtifactId> candidates(Map<ArtifactId, Demand> demand) {
        Set<ArtifactId> candidates = new TreeSet<>(demand.keySet());
        for (ModelSpec model : input.config().models()) {
            if (model.minReplicas() > 0) {
                candidates.add(ArtifactId.model(model.name()));
            }
        }
        return candidates;
    }

    /** Returns the demand, with that of an adapter counted for its base where no base is there. */
    private Map<ArtifactId, Demand> demandWithBases() {
        Map<ArtifactId, Demand> all = new HashMap<>(input.demand());
        input.demand().forEach((artifact, demand) -> {
            if (artifact.kind() == Kind.ADAPTER && input.replicas(artifact.base()) == 0) {
                all.merge(artifact.base(), demand, Planner::combine);
            }
        });
        return all;
    }

    private static Demand combine(Demand one, Demand other) {
        return new Demand(
                one.waiting() + other.waiting(),
                Math.max(one.highestPriority(), other.highestPriority()),
                Math.min(one.earliestDeadlineMillis(), other.earliestDeadlineMillis()));
    }

    private Optional<Want> want(ArtifactId artifact, Map<ArtifactId, Demand> demand) {
        Optional<ReplicaShare> share = ReplicaShare.of(input.config(), artifact, input.cell());
        if (share.isEmpty() || input.replicas(artifact) >= share.get().limit()) {
            return Optional.empty();
        }
        Demand waiting = demand.getOrDefault(artifact, Demand.NONE);
        boolean belowMinimum = input.replicas(artifact) < share.get().minimum();
        boolean loading = input.slots().stream()
                .anyMatch(slot -> slot.artifact().equals(artifact) && slot.phase() != Phase.LOADED);
        if (!belowMinimum && (waiting.waiting() == 0 || loading)) {
            return Optional.empty();
        }
        return Optional.of(new Want(share.get(), waiting));
    }

    private void place(Want want) {
        ReplicaShare share = want.share();
        List<PlanTarget> candidates = input.targets().stream()
                .filter(PlanTarget::usable)
                .filter(target -> ReplicaShare.permits(share.model(), target.spec()))
                .filter(target -> fits(share.artifact(), target))
                .sorted(Comparator.comparing(
                                (PlanTarget target) -> !target.nearCopies().contains(share.artifact()))
                        .thenComparingLong(target -> -freeBytes(target))
                        .thenComparing(target -> target.spec().name()))
                .toList();
        for (PlanTarget target : candidates) {
            if (freeBytes(target) >= share.sizeBytes()) {
                takenBytes.merge(target.spec().name(), share.sizeBytes(), Long::sum);
                actions.add(new Load(share, target.spec()));
                return;
            }
        }
        for (PlanTarget target : candidates) {
            if (makeRoom(want, target)) {
                return;
            }
        }
    }

    private boolean fits(ArtifactId artifact, PlanTarget target) {
        String name = target.spec().name();
        if (input.slot(name, artifact).isPresent() || input.cooling().contains(new SlotKey(name, artifact))) {
            return false;
        }
        if (artifact.kind() != Kind.ADAPTER) {
            return true;
        }
        return input.slot(name, artifact.base())
                .map(base -> base.phase() == Phase.LOADED && !unloading.contains(SlotKey.of(base)))
                .orElse(false);
    }

    private long freeBytes(PlanTarget target) {
        return target.spec().memoryBytes()
                - takenBytes.getOrDefault(target.spec().name(), 0L);
    }

    /** Evicts idle slots of a target so that the artifact fits later; true when it will fit. */
    private boolean makeRoom(Want want, PlanTarget target) {
        long comingBytes = freeBytes(target);
        List<Slot> evictable = new ArrayList<>();
        for (Slot slot : input.slots()) {
            if (!slot.target().equals(target.spec().name())) {
                continue;
            }
            if (unloading.contains(SlotKey.of(slot))) {
                comingBytes += slot.sizeBytes();
            } else if (evictable(slot, want)) {
                evictable.add(slot);
            }
        }
        evictable.sort(
                Comparator.comparingDouble((Slot slot) -> input.useOf(slot).keepWorth())
                        .thenComparing(Slot::artifact));
        long possibleBytes = comingBytes;
        for (Slot slot : evictable) {
            possibleBytes += slot.sizeBytes();
        }
        if (possibleBytes < want.share().sizeBytes()) {
            return false;
        }
        for (Slot slot : evictable) {
            if (comingBytes >= want.share().sizeBytes()) {
                break;
            }
            unload(slot, Reason.EVICTED);
            comingBytes += slot.sizeBytes();
        }
        takenBytes.merge(target.spec().name(), want.share().sizeBytes(), Long::sum);
        return true;
    }

    private boolean evictable(Slot slot, Want want) {
        if (slot.phase() != Phase.LOADED || input.useOf(slot).inFlight() > 0 || keptForMinimum(slot)) {
            return false;
        }
        if (slot.artifact().base().equals(want.share().artifact().base())) {
            return false;
        }
        boolean adapterBusy = adaptersOn(slot).stream()
                .anyMatch(adapter -> input.useOf(adapter).inFlight() > 0);
        Demand demand = input.demandOf(slot.artifact());
        return !adapterBusy
                && (demand.waiting() == 0
                        || demand.highestPriority() < want.demand().highestPriority());
    }

    private record Want(ReplicaShare share, Demand demand) {}
}
