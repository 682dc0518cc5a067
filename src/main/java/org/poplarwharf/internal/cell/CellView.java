package org.poplarwharf.internal.cell;

import java.util.List;
import java.util.Optional;
import org.poplarwharf.internal.admission.AdmissionController;
import org.poplarwharf.internal.admission.ReplicaPool;
import org.poplarwharf.internal.log.RecordStream;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellStateView;
import org.poplarwharf.plugins.ArtifactId;

/**
 * A node's view of all cells, built by following their streams.
 *
 * <p>Called on the control thread only.
 */
public interface CellView {
    /**
     * Returns the names of the cells that can serve an artifact. Cells where it is loaded come first, then cells with
     * a target in the given zone.
     */
    List<String> cellsFor(ArtifactId artifact, String zone);

    /**
     * Returns the cell whose stream stores the claims of a call. Depends only on the call key and the names of the
     * cells.
     */
    Optional<String> cellForCall(String callKey);

    /**
     * Returns the lease holder of a cell according to the last record read; empty if the lease is released or was
     * never claimed.
     */
    Optional<Holder> holder(String cell);

    /** Returns the admission of a cell whose lease this node holds; empty otherwise. */
    Optional<AdmissionController> localAdmission(String cell);

    /** Returns the stream of a cell; empty for a cell that this node does not follow. */
    Optional<RecordStream<CellRecord>> stream(String cell);

    /** Returns the folded state of a cell; empty for a cell that this node does not follow. */
    default Optional<CellStateView> state(String cell) {
        return Optional.empty();
    }

    /**
     * Returns the replicas of an artifact according to the last records read, for use when no lease holder can be
     * reached.
     */
    List<ReplicaPool.Replica> lastKnownReplicas(ArtifactId artifact);

    /** Returns whether a request fingerprint is condemned in any cell. */
    boolean isCondemned(String fingerprint);

    /** A lease holder; {@code local} is true if it is this process. */
    record Holder(CellRecord.Author author, String peerAddress, long epoch, boolean local) {}
}
