package org.poplarwharf.internal.state;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.poplarwharf.internal.state.CellRecord.Author;
import org.poplarwharf.internal.state.CellRecord.CallOutcome;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.EngineDialect.OrderKind;

/**
 * A read-only view of the folded state of a cell's stream.
 *
 * <p>Confined to the control thread. A returned collection is a snapshot.
 */
public interface CellStateView {
    /** Returns the latest accepted lease, even if it was released. */
    Optional<Lease> lease();

    /** Returns the current epoch, or -1 if the lease was never claimed. */
    long epoch();

    /** Returns the version of the configuration that the cell follows, or -1 if it follows none. */
    default long adoptedVersion() {
        return -1;
    }

    /** Returns every slot. Each one reserves a replica and memory, whether its artifact is loaded or not. */
    Collection<Slot> slots();

    Optional<Slot> slot(String target, ArtifactId artifact);

    /** Returns the number of bytes of memory that the slots of a target reserve. */
    long reservedBytes(String target);

    /** Returns the number of replicas of an artifact that are reserved in this cell. */
    int replicaCount(ArtifactId artifact);

    /** Returns whether an operator has taken the target out of service. */
    boolean isExcluded(String target);

    /** Returns whether requests with this fingerprint are rejected. */
    boolean isCondemned(String fingerprint);

    /** Returns the fingerprints of requests that were running when a target died, rejected or not. */
    Collection<SuspectFingerprint> suspects();

    /** Returns the claim of a call, if its key is known. */
    Optional<CallClaim> callClaim(String callKey);

    /** Returns the number of stored claims. */
    int callClaimCount();

    /** Returns the latest known incarnation of a node that wrote to the stream, with its VM. */
    Optional<AuthorLocation> authorLocation(String nodeId);

    /** Returns the latest incarnation of every known node, with its VM. */
    List<AuthorLocation> authorLocations();

    /**
     * The latest incarnation of a node that wrote to the stream, and the VM it runs on.
     *
     * @param vmId the VM that the node reported, empty if it has not reported one
     * @param listed whether the node has found that VM in the platform's VM list
     */
    record AuthorLocation(Author author, Optional<String> vmId, boolean listed) {}

    /**
     * The lease of a cell.
     *
     * @param renewalOffset the offset of the last renewal; the offset of the claim until the first renewal
     */
    record Lease(
            Author holder, String peerAddress, long epoch, long renewalOffset, long durationMillis, boolean released) {}

    /** The state of a slot. */
    enum SlotPhase {
        INTENDED,
        LOADED,
        UNLOADING
    }

    /** A reservation of one replica of an artifact on a target. */
    record Slot(
            String target,
            String targetVmId,
            ArtifactId artifact,
            String version,
            long sizeBytes,
            boolean fencing,
            SlotPhase phase,
            List<OpenOrder> openOrders) {}

    /** An order that may still reach its target. */
    record OpenOrder(long intentOffset, long epoch, Author author, OrderKind kind) {}

    /**
     * A request fingerprint that was in flight when a target died.
     *
     * @param deaths the number of distinct deaths
     * @param soleDeaths the number of these deaths at which it was the only suspect in flight
     */
    record SuspectFingerprint(String fingerprint, int deaths, int soleDeaths, boolean condemned, long lastOffset) {}

    /** A claimed call. {@code outcome} is empty while the call is in progress. */
    record CallClaim(
            String callKey,
            String attemptId,
            Author author,
            String bodyFingerprint,
            long offset,
            Optional<CallOutcome> outcome,
            int status,
            String contentType,
            byte[] answer,
            boolean answerKept) {}
}
