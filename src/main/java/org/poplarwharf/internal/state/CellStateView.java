package org.poplarwharf.internal.state;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.poplarwharf.internal.state.CellRecord.Author;
import org.poplarwharf.internal.state.CellRecord.CallOutcome;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.EngineDialect.OrderKind;

/**
 * The folded state of a cell's stream, for reading.
 *
 * <p>Belongs to the control thread; a returned collection is a snapshot.
 */
public interface CellStateView {
    /** Returns the latest accepted lease, also when it was released. */
    Optional<Lease> lease();

    /** Returns the current epoch; -1 before any claim. */
    long epoch();

    /** Returns the version of the configuration that the cell follows; -1 before any. */
    default long adoptedVersion() {
        return -1;
    }

    /** Returns every slot that takes a replica and memory, whether its artifact is loaded or not. */
    Collection<Slot> slots();

    Optional<Slot> slot(String target, ArtifactId artifact);

    /** Returns the memory that the slots of a target take. */
    long reservedBytes(String target);

    /** Returns how many replicas of an artifact are taken in this cell. */
    int replicaCount(ArtifactId artifact);

    /** Tells whether an operator has taken the target out of service. */
    boolean isExcluded(String target);

    /** Tells whether requests with this fingerprint are refused. */
    boolean condemned(String fingerprint);

    /** Returns fingerprints that were running when targets died, condemned or not. */
    Collection<SuspectFingerprint> suspects();

    /** Returns the claim of a call, if its key is known. */
    Optional<CallClaim> callClaim(String callKey);

    /** Returns how many claims are kept. */
    int callClaimCount();

    /** Returns the latest incarnation of a node that wrote here, if it is remembered. */
    Optional<AuthorLocation> authorLocation(String nodeId);

    /** Returns the latest incarnation of every node that is remembered. */
    List<AuthorLocation> authorLocations();

    /**
     * The latest incarnation of a node that wrote to the stream.
     *
     * @param vmId the VM that it runs on by its own word, empty until it has told
     * @param listed whether it has seen that VM on the platform's list
     */
    record AuthorLocation(Author author, Optional<String> vmId, boolean listed) {}

    /** A lease as the fold knows it; {@code renewalOffset} is the claim's offset until the first renewal. */
    record Lease(
            Author holder, String peerAddress, long epoch, long renewalOffset, long durationMillis, boolean released) {}

    /** How far a slot is. */
    enum SlotPhase {
        INTENDED,
        LOADED,
        UNLOADING
    }

    /** One replica's place on a target. */
    record Slot(
            String target,
            String targetVmId,
            ArtifactId artifact,
            String version,
            long sizeBytes,
            boolean fencing,
            SlotPhase phase,
            List<OpenOrder> openOrders) {}

    /** An order that may still arrive at its target. */
    record OpenOrder(long intentOffset, long epoch, Author author, OrderKind kind) {}

    /**
     * A fingerprint that was in flight at the death of a target.
     *
     * @param deaths how many distinct deaths
     * @param soleDeaths at how many of them it was the only suspect in flight
     */
    record SuspectFingerprint(String fingerprint, int deaths, int soleDeaths, boolean condemned, long lastOffset) {}

    /** A claimed call; {@code outcome} is empty while it is in progress. */
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
