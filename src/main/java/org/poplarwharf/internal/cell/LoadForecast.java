package org.poplarwharf.internal.cell;

import java.util.Optional;
import java.util.OptionalLong;
import org.poplarwharf.internal.cell.PlanInput.SlotKey;
import org.poplarwharf.internal.config.FleetConfig.TargetSpec;
import org.poplarwharf.internal.state.CellStateView.Phase;
import org.poplarwharf.internal.state.CellStateView.Slot;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.EngineDialect;

/**
 * Predicts when an absent artifact of a cell can be served, from the loads under way, the weight store's queue and the
 * load times seen so far.
 *
 * <p>Invariant: changes nothing. Belongs to the control thread.
 */
final class LoadForecast {
    /** How long an unload that is under way is taken to last. */
    private static final long UNLOAD_MILLIS = 1_000;

    private final CellRuntime cell;
    private final LoadTimeEstimate loadTimes;
    private final UseTable uses;
    private final StoreBudget store;

    LoadForecast(CellRuntime cell, LoadTimeEstimate loadTimes, UseTable uses, StoreBudget store) {
        this.cell = cell;
        this.loadTimes = loadTimes;
        this.uses = uses;
        this.store = store;
    }

    /** Predicts when an artifact that is not served yet can be. */
    OptionalLong loadingMillis(ArtifactId artifact) {
        Optional<ReplicaShare> share = ReplicaShare.of(cell.config(), artifact, cell.name());
        if (share.isEmpty()) {
            return OptionalLong.empty();
        }
        OptionalLong best = OptionalLong.empty();
        for (Slot slot : cell.state().slots()) {
            if (slot.artifact().equals(artifact) && slot.phase() == Phase.INTENDED) {
                long millis = remainingMillis(slot);
                best = OptionalLong.of(Math.min(millis, best.orElse(Long.MAX_VALUE)));
            }
        }
        if (best.isPresent()) {
            return best;
        }
        if (cell.state().replicas(artifact) < share.get().limit()) {
            return startableMillis(share.get());
        }
        OptionalLong afterUnload = unloading(artifact) ? startableMillis(share.get()) : OptionalLong.empty();
        return afterUnload.isPresent() ? OptionalLong.of(afterUnload.getAsLong() + UNLOAD_MILLIS) : afterUnload;
    }

    private boolean unloading(ArtifactId artifact) {
        return cell.state().slots().stream()
                .filter(slot -> slot.artifact().equals(artifact))
                .anyMatch(slot -> slot.phase() == Phase.UNLOADING || cell.withdrawn(slot.target()));
    }

    private long remainingMillis(Slot slot) {
        double fraction = cell.watch(slot.target())
                .held(slot.artifact())
                .map(EngineDialect.Held::loadedFraction)
                .orElse(0.0);
        return (long) (loadTimes.millis(slot.sizeBytes(), cell.near(SlotKey.of(slot))) * (1 - fraction));
    }

    private OptionalLong startableMillis(ReplicaShare share) {
        OptionalLong best = OptionalLong.empty();
        for (TargetSpec target : cell.targets()) {
            boolean usable = !cell.watch(target.name()).suspect() && !cell.withdrawn(target.name());
            if (!usable || !ReplicaShare.permits(share.model(), target) || target.memoryBytes() < share.sizeBytes()) {
                continue;
            }
            boolean near = cell.near(new SlotKey(target.name(), share.artifact()));
            long waitMillis =
                    near ? 0 : store.waitMillis(uses.demand(cell.nowMillis()).size(), cell.nowMillis());
            long millis = waitMillis + loadTimes.millis(share.sizeBytes(), near);
            best = OptionalLong.of(Math.min(millis, best.orElse(Long.MAX_VALUE)));
        }
        return best;
    }
}
