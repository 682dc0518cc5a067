package org.poplarwharf.internal.cell;

import java.util.Optional;
import java.util.OptionalLong;
import org.poplarwharf.internal.cell.PlanInput.SlotKey;
import org.poplarwharf.internal.config.FleetConfig.TargetSpec;
import org.poplarwharf.internal.state.CellStateView.Slot;
import org.poplarwharf.internal.state.CellStateView.SlotPhase;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.EngineDialect;

/**
 * Estimates when an absent artifact of a cell can be served, from loads in progress, the queue of the weight store
 * and past load times.
 *
 * <p>Invariant: only reads state. Confined to the control thread.
 */
final class ReadinessEstimator {
    /** Assumed duration of an unload that is in progress. */
    private static final long ASSUMED_UNLOAD_MILLIS = 1_000;

    private final CellRuntime cell;
    private final LoadTimeEstimator loadTimes;
    private final UsageTracker usage;
    private final StoreLoadLimiter storeLimiter;

    ReadinessEstimator(
            CellRuntime cell, LoadTimeEstimator loadTimes, UsageTracker usage, StoreLoadLimiter storeLimiter) {
        this.cell = cell;
        this.loadTimes = loadTimes;
        this.usage = usage;
        this.storeLimiter = storeLimiter;
    }

    /** Returns the estimated time until an artifact that is not loaded can be served; empty if it cannot be loaded. */
    OptionalLong millisUntilLoaded(ArtifactId artifact) {
        Optional<ReplicaQuota> quota = ReplicaQuota.of(cell.config(), artifact, cell.name());
        if (quota.isEmpty()) {
            return OptionalLong.empty();
        }
        OptionalLong shortestMillis = OptionalLong.empty();
        for (Slot slot : cell.state().slots()) {
            if (slot.artifact().equals(artifact) && slot.phase() == SlotPhase.INTENDED) {
                long millis = remainingLoadMillis(slot);
                shortestMillis = OptionalLong.of(Math.min(millis, shortestMillis.orElse(Long.MAX_VALUE)));
            }
        }
        if (shortestMillis.isPresent()) {
            return shortestMillis;
        }
        if (cell.state().replicaCount(artifact) < quota.get().limit()) {
            return newLoadMillis(quota.get());
        }
        OptionalLong afterUnloadMillis = isUnloading(artifact) ? newLoadMillis(quota.get()) : OptionalLong.empty();
        return afterUnloadMillis.isPresent()
                ? OptionalLong.of(afterUnloadMillis.getAsLong() + ASSUMED_UNLOAD_MILLIS)
                : afterUnloadMillis;
    }

    private boolean isUnloading(ArtifactId artifact) {
        return cell.state().slots().stream()
                .filter(slot -> slot.artifact().equals(artifact))
                .anyMatch(slot -> slot.phase() == SlotPhase.UNLOADING || cell.isWithdrawn(slot.target()));
    }

    private long remainingLoadMillis(Slot slot) {
        double loadedFraction = cell.targetStatus(slot.target())
                .heldArtifact(slot.artifact())
                .map(EngineDialect.HeldArtifact::loadedFraction)
                .orElse(0.0);
        return (long)
                (loadTimes.estimateMillis(slot.sizeBytes(), cell.hasNearCopy(SlotKey.of(slot))) * (1 - loadedFraction));
    }

    private OptionalLong newLoadMillis(ReplicaQuota quota) {
        OptionalLong shortestMillis = OptionalLong.empty();
        for (TargetSpec target : cell.targets()) {
            boolean usable = !cell.targetStatus(target.name()).isSuspect() && !cell.isWithdrawn(target.name());
            if (!usable || !ReplicaQuota.permits(quota.model(), target) || target.memoryBytes() < quota.sizeBytes()) {
                continue;
            }
            boolean nearCopy = cell.hasNearCopy(new SlotKey(target.name(), quota.artifact()));
            long waitMillis = nearCopy
                    ? 0
                    : storeLimiter.waitMillis(usage.demand(cell.nowMillis()).size(), cell.nowMillis());
            long millis = waitMillis + loadTimes.estimateMillis(quota.sizeBytes(), nearCopy);
            shortestMillis = OptionalLong.of(Math.min(millis, shortestMillis.orElse(Long.MAX_VALUE)));
        }
        return shortestMillis;
    }
}
