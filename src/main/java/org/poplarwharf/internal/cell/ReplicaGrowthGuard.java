package org.poplarwharf.internal.cell;

import java.util.Map;
import java.util.function.Function;
import java.util.function.Supplier;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.internal.log.RecordStream;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellRecord.ConfigAdopted;
import org.poplarwharf.internal.state.CellStateView;
import org.poplarwharf.plugins.ArtifactId;

/**
 * Lets the replicas of a cell grow under a new configuration only when no other cell can still use the part of the
 * quota that it gives up.
 *
 * <p>Invariants: a holder loads only under the configuration version that its cell has adopted on its stream, so a
 * holder with an older configuration loads nothing. A cell grows only when every other cell has adopted that version
 * or a later one and has no more replicas than its quota. Together these rules keep the sum over all cells within the
 * configured count while quotas move between cells. Confined to the control thread.
 */
final class ReplicaGrowthGuard {
    private static final long COMMIT_MILLIS = 5_000;

    private final String cell;
    private final CellLeaseManager lease;
    private final RecordStream<CellRecord> stream;
    private final CellStateView state;
    private final Supplier<FleetConfig> config;
    private final Function<String, Map<String, CellStateView>> otherCells;
    private boolean adopting;

    ReplicaGrowthGuard(
            String cell,
            CellLeaseManager lease,
            RecordStream<CellRecord> stream,
            CellStateView state,
            Supplier<FleetConfig> config,
            Function<String, Map<String, CellStateView>> otherCells) {
        this.cell = cell;
        this.lease = lease;
        this.stream = stream;
        this.state = state;
        this.config = config;
        this.otherCells = otherCells;
    }

    /**
     * Returns whether the cell has adopted the current configuration of this node; starts the adoption of a newer
     * one.
     */
    boolean adoptConfig() {
        long version = config.get().version();
        if (version > state.adoptedVersion() && !adopting && lease.isHeld()) {
            adopting = true;
            stream.commit(new ConfigAdopted(lease.epoch(), version), COMMIT_MILLIS)
                    .whenComplete((applied, failure) -> adopting = false);
        }
        return version == state.adoptedVersion();
    }

    /** Returns whether the artifact may get another replica in this cell. */
    boolean mayGrow(ArtifactId artifact) {
        FleetConfig current = config.get();
        for (Map.Entry<String, CellStateView> other : otherCells.apply(cell).entrySet()) {
            int otherLimit = ReplicaQuota.of(current, artifact, other.getKey())
                    .map(ReplicaQuota::limit)
                    .orElse(0);
            boolean behind = other.getValue().adoptedVersion() < current.version();
            if (behind || other.getValue().replicaCount(artifact) > otherLimit) {
                return false;
            }
        }
        return true;
    }
}
