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
import org.poplarwharf.internal.cell.PlanAction.Unload;
import org.poplarwharf.internal.cell.PlanAction.UnloadReason;
import org.poplarwharf.internal.cell.PlanInput.ArtifactDemand;
import org.poplarwharf.internal.cell.PlanInput.PlanTarget;
import org.poplarwharf.internal.cell.PlanInput.SlotKey;
import org.poplarwharf.internal.config.FleetConfig.ModelSpec;
import org.poplarwharf.internal.state.CellStateView.Slot;
import org.poplarwharf.internal.state.CellStateView.SlotPhase;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.ArtifactId.Kind;

/**
 * Decides which artifacts to load or unload on which targets, for one cell at one moment.
 *
 * <p>Invariants: every slot takes memory, whatever its phase. Planned loads stay within the memory of each target and
 * the quota of each artifact. A slot with requests in flight is never unloaded. Loads are ordered by urgency. An
 * instance serves one plan and one thread.
 */
final class Planner {
    private final PlanInput input;
    private final List<PlanAction> actions = new ArrayList<>();
    private final Map<String, Long> reservedBytes = new HashMap<>();
    private final Set<SlotKey> unloadingSlots = new HashSet<>();

    private Planner(PlanInput input) {
        this.input = input;
        for (Slot slot : input.slots()) {
            reservedBytes.merge(slot.target(), slot.sizeBytes(), Long::sum);
            if (slot.phase() == SlotPhase.UNLOADING) {
                unloadingSlots.add(SlotKey.of(slot));
            }
        }
    }

    /** Returns the planned actions: unloads first, then loads by urgency. */
    static List<PlanAction> plan(PlanInput input) {
        Planner planner = new Planner(input);
        planner.unloadNotPermitted();
        planner.unloadSurplus();
        planner.unloadIdle();
        planner.planLoads();
        return List.copyOf(planner.actions);
    }

    private void unloadNotPermitted() {
        for (Slot slot : input.slots()) {
            Optional<UnloadReason> reason = unloadReason(slot);
            reason.ifPresent(unloadReason -> unload(slot, unloadReason));
        }
    }

    private Optional<UnloadReason> unloadReason(Slot slot) {
        Optional<ReplicaQuota> quota = ReplicaQuota.of(input.config(), slot.artifact(), input.cell());
        if (quota.isEmpty()) {
            return Optional.of(UnloadReason.NOT_CONFIGURED);
        }
        if (!quota.get().version().equals(slot.version())) {
            return Optional.of(UnloadReason.OTHER_VERSION);
        }
        boolean permitted = input.target(slot.target())
                .map(target ->
                        !target.leaving() && ReplicaQuota.permits(quota.get().model(), target.spec()))
                .orElse(false);
        return permitted ? Optional.empty() : Optional.of(UnloadReason.NOT_PERMITTED);
    }

    private void unloadSurplus() {
        Set<ArtifactId> artifacts = new TreeSet<>();
        input.slots().forEach(slot -> artifacts.add(slot.artifact()));
        for (ArtifactId artifact : artifacts) {
            int limit = ReplicaQuota.of(input.config(), artifact, input.cell())
                    .map(ReplicaQuota::limit)
                    .orElse(0);
            List<Slot> remaining = remainingSlots(artifact);
            for (int i = 0; i < remaining.size() - limit; i++) {
                unload(remaining.get(i), UnloadReason.TOO_MANY);
            }
        }
    }

    private void unloadIdle() {
        for (Slot slot : input.slots()) {
            if (slot.phase() != SlotPhase.LOADED || !input.usageOf(slot).keepAliveExpired()) {
                continue;
            }
            if (input.demandOf(slot.artifact()).waitingCount() > 0 || isNeededForMinimum(slot)) {
                continue;
            }
            unload(slot, UnloadReason.IDLE);
        }
    }

    private boolean isNeededForMinimum(Slot slot) {
        int minimum = ReplicaQuota.of(input.config(), slot.artifact(), input.cell())
                .map(ReplicaQuota::minimum)
                .orElse(0);
        return remainingSlots(slot.artifact()).size() <= minimum;
    }

    /** Returns the slots of an artifact that are not being unloaded, the one with the lowest retention value first. */
    private List<Slot> remainingSlots(ArtifactId artifact) {
        return input.slots().stream()
                .filter(slot -> slot.artifact().equals(artifact))
                .filter(slot -> !unloadingSlots.contains(SlotKey.of(slot)))
                .sorted(Comparator.comparingDouble(
                                (Slot slot) -> input.usageOf(slot).retentionValue())
                        .thenComparing(Slot::target))
                .toList();
    }

    /** Plans an unload. A base model is unloaded only after its adapters on the target are unloaded. */
    private boolean unload(Slot slot, UnloadReason reason) {
        if (unloadingSlots.contains(SlotKey.of(slot)) || input.usageOf(slot).inFlightCount() > 0) {
            return false;
        }
        List<Slot> adapters = adaptersOn(slot);
        for (Slot adapter : adapters) {
            unload(adapter, reason);
        }
        if (!adapters.isEmpty()) {
            return false;
        }
        unloadingSlots.add(SlotKey.of(slot));
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

    private void planLoads() {
        List<WantedLoad> wantedLoads = new ArrayList<>();
        Map<ArtifactId, ArtifactDemand> demand = demandWithBases();
        for (ArtifactId artifact : candidates(demand)) {
            wantedLoad(artifact, demand).ifPresent(wantedLoads::add);
        }
        wantedLoads.sort(
                Comparator.comparingInt((WantedLoad wanted) -> -wanted.demand().highestPriority())
                        .thenComparingInt(wanted -> -wanted.quota().priority())
                        .thenComparingLong(wanted -> wanted.demand().earliestDeadlineMillis())
                        .thenComparingInt(wanted -> -wanted.demand().waitingCount())
                        .thenComparing(wanted -> wanted.quota().artifact()));
        for (WantedLoad wanted : wantedLoads) {
            planLoad(wanted);
        }
    }

    /** Returns the artifacts that may need a load: those with demand and the models with a minimum replica count. */
    private Set<ArtifactId> candidates(Map<ArtifactId, ArtifactDemand> demand) {
        Set<ArtifactId> candidates = new TreeSet<>(demand.keySet());
        for (ModelSpec model : input.config().models()) {
            if (model.minReplicas() > 0) {
                candidates.add(ArtifactId.model(model.name()));
            }
        }
        return candidates;
    }

    /**
     * Returns the demand. The demand for an adapter also counts for its base model while no replica of the base
     * exists.
     */
    private Map<ArtifactId, ArtifactDemand> demandWithBases() {
        Map<ArtifactId, ArtifactDemand> all = new HashMap<>(input.demand());
        input.demand().forEach((artifact, demand) -> {
            if (artifact.kind() == Kind.ADAPTER && input.replicaCount(artifact.base()) == 0) {
                all.merge(artifact.base(), demand, Planner::sum);
            }
        });
        return all;
    }

    private static ArtifactDemand sum(ArtifactDemand first, ArtifactDemand second) {
        return new ArtifactDemand(
                first.waitingCount() + second.waitingCount(),
                Math.max(first.highestPriority(), second.highestPriority()),
                Math.min(first.earliestDeadlineMillis(), second.earliestDeadlineMillis()));
    }

    private Optional<WantedLoad> wantedLoad(ArtifactId artifact, Map<ArtifactId, ArtifactDemand> demand) {
        Optional<ReplicaQuota> quota = ReplicaQuota.of(input.config(), artifact, input.cell());
        if (quota.isEmpty() || input.replicaCount(artifact) >= quota.get().limit()) {
            return Optional.empty();
        }
        ArtifactDemand artifactDemand = demand.getOrDefault(artifact, ArtifactDemand.NONE);
        boolean belowMinimum = input.replicaCount(artifact) < quota.get().minimum();
        boolean loading = input.slots().stream()
                .anyMatch(slot -> slot.artifact().equals(artifact) && slot.phase() != SlotPhase.LOADED);
        if (!belowMinimum && (artifactDemand.waitingCount() == 0 || loading)) {
            return Optional.empty();
        }
        return Optional.of(new WantedLoad(quota.get(), artifactDemand));
    }

    private void planLoad(WantedLoad wanted) {
        ReplicaQuota quota = wanted.quota();
        List<PlanTarget> candidates = input.targets().stream()
                .filter(PlanTarget::usable)
                .filter(target -> ReplicaQuota.permits(quota.model(), target.spec()))
                .filter(target -> canTakeSlot(quota.artifact(), target))
                .sorted(Comparator.comparing(
                                (PlanTarget target) -> !target.nearCopies().contains(quota.artifact()))
                        .thenComparingLong(target -> -freeBytes(target))
                        .thenComparing(target -> target.spec().name()))
                .toList();
        for (PlanTarget target : candidates) {
            if (freeBytes(target) >= quota.sizeBytes()) {
                reservedBytes.merge(target.spec().name(), quota.sizeBytes(), Long::sum);
                actions.add(new Load(quota, target.spec()));
                return;
            }
        }
        for (PlanTarget target : candidates) {
            if (evictFor(wanted, target)) {
                return;
            }
        }
    }

    private boolean canTakeSlot(ArtifactId artifact, PlanTarget target) {
        String name = target.spec().name();
        if (input.slot(name, artifact).isPresent() || input.coolingDown().contains(new SlotKey(name, artifact))) {
            return false;
        }
        if (artifact.kind() != Kind.ADAPTER) {
            return true;
        }
        return input.slot(name, artifact.base())
                .map(base -> base.phase() == SlotPhase.LOADED && !unloadingSlots.contains(SlotKey.of(base)))
                .orElse(false);
    }

    private long freeBytes(PlanTarget target) {
        return target.spec().memoryBytes()
                - reservedBytes.getOrDefault(target.spec().name(), 0L);
    }

    /** Evicts idle slots of a target to free memory for the artifact; returns true if it will fit. */
    private boolean evictFor(WantedLoad wanted, PlanTarget target) {
        long freeableBytes = freeBytes(target);
        List<Slot> evictable = new ArrayList<>();
        for (Slot slot : input.slots()) {
            if (!slot.target().equals(target.spec().name())) {
                continue;
            }
            if (unloadingSlots.contains(SlotKey.of(slot))) {
                freeableBytes += slot.sizeBytes();
            } else if (isEvictable(slot, wanted)) {
                evictable.add(slot);
            }
        }
        evictable.sort(
                Comparator.comparingDouble((Slot slot) -> input.usageOf(slot).retentionValue())
                        .thenComparing(Slot::artifact));
        long maxFreeableBytes = freeableBytes;
        for (Slot slot : evictable) {
            maxFreeableBytes += slot.sizeBytes();
        }
        if (maxFreeableBytes < wanted.quota().sizeBytes()) {
            return false;
        }
        for (Slot slot : evictable) {
            if (freeableBytes >= wanted.quota().sizeBytes()) {
                break;
            }
            unload(slot, UnloadReason.EVICTED);
            freeableBytes += slot.sizeBytes();
        }
        reservedBytes.merge(target.spec().name(), wanted.quota().sizeBytes(), Long::sum);
        return true;
    }

    private boolean isEvictable(Slot slot, WantedLoad wanted) {
        if (slot.phase() != SlotPhase.LOADED || input.usageOf(slot).inFlightCount() > 0 || isNeededForMinimum(slot)) {
            return false;
        }
        if (slot.artifact().base().equals(wanted.quota().artifact().base())) {
            return false;
        }
        boolean adapterBusy = adaptersOn(slot).stream()
                .anyMatch(adapter -> input.usageOf(adapter).inFlightCount() > 0);
        ArtifactDemand demand = input.demandOf(slot.artifact());
        return !adapterBusy
                && (demand.waitingCount() == 0
                        || demand.highestPriority() < wanted.demand().highestPriority());
    }

    private record WantedLoad(ReplicaQuota quota, ArtifactDemand demand) {}
}
