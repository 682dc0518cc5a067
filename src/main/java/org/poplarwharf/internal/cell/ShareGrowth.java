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
 * Lets a cell's replicas grow under a configuration only when no other cell can still use the share that it gives up.
 *
 * <p>Invariants: a holder loads only under the version that its cell has adopted on its stream, so one with older knowledge
 * loads nothing; a cell grows only when every other cell has adopted that version or a later one and has no more replicas
 * than its share. Together they keep the sum over all cells within the configured count, while shares move between cells.
 * Belongs to the control thread.
 */
final class ShareGrowth {
    private static final long COMMIT_MILLIS = 5_000;

    private final String cell;
    private final LeaseKeeper lease;
    private final RecordStream<CellRecord> stream;
    private final CellStateView state;
    private final Supplier<FleetConfig> config;
    private final Function<String, Map<String, CellStateView>> otherCells;
    private boolean adopting;

    ShareGrowth(
            String cell,
            LeaseKeeper lease,
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

    /** Tells whether the cell follows the configuration in force here; adopts it when it is newer. */
    boolean adopted() {
        long version = config.get().version();
        if (version > state.adoptedVersion() && !adopting && lease.holds()) {
            adopting = true;
            stream.commit(new ConfigAdopted(lease.epoch(), version), COMMIT_MILLIS)
                    .whenComplete((applied, failure) -> adopting = false);
        }
        return version == state.adoptedVersion();
    }

    /** Tells whether the artifact may get another replica in this cell. */
    boolean allowed(ArtifactId artifact) {
        FleetConfig current = config.get();
        for (Map.Entry<String, CellStateView> other : otherCells.apply(cell).entrySet()) {
            int share = ReplicaShare.of(current, artifact, other.getKey())
                    .map(ReplicaShare::limit)
                    .orElse(0);
            boolean behind = other.getValue().adoptedVersion() < current.version();
            if (behind || other.getValue().replicas(artifact) > share) {
                return false;
            }
        }
        return true;
    }
}
