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
 * What this node knows of the cells, by following their streams.
 *
 * <p>Called from the control thread only.
 */
public interface CellView {
    /** Returns the names of the cells that could serve an artifact, the nearest and warmest first. */
    List<String> cellsFor(ArtifactId artifact, String zone);

    /** Returns the cell whose stream keeps the claims of a call; a function of the key and the cells' names alone. */
    Optional<String> claimCell(String callKey);

    /** Returns who holds a cell's lease by the last record read. */
    Optional<Holder> holder(String cell);

    /** Returns the admission of a cell that this node holds; empty when it does not. */
    Optional<AdmissionController> admissionHere(String cell);

    /** Returns the stream of a cell. */
    Optional<RecordStream<CellRecord>> stream(String cell);

    /** Returns the folded state of a cell; empty for a cell that this node does not follow. */
    default Optional<CellStateView> state(String cell) {
        return Optional.empty();
    }

    /** Returns the replicas of an artifact by the last placement read, for use when no holder can be reached. */
    List<ReplicaPool.Replica> lastKnownReplicas(ArtifactId artifact);

    /** Tells whether a fingerprint is condemned in any cell. */
    boolean condemned(String fingerprint);

    /** The holder of a lease. */
    record Holder(CellRecord.Author author, String peerAddress, long epoch, boolean here) {}
}
