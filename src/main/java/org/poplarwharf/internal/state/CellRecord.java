package org.poplarwharf.internal.state;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.poplarwharf.plugins.ArtifactId;

/**
 * A record of a cell's stream. The state of the cell is a pure fold of these records in log order.
 *
 * <p>Records with an {@code epoch} take effect only while that epoch's lease is the latest accepted claim; all else
 * about them is decided by the fold too, so that every reader reaches the same state. Immutable and thread-safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
    @JsonSubTypes.Type(value = CellRecord.LeaseClaimed.class, name = "claim"),
    @JsonSubTypes.Type(value = CellRecord.LeaseRenewed.class, name = "renew"),
    @JsonSubTypes.Type(value = CellRecord.LeaseReleased.class, name = "release"),
    @JsonSubTypes.Type(value = CellRecord.AuthorPlaced.class, name = "placed"),
    @JsonSubTypes.Type(value = CellRecord.AuthorSteppedDown.class, name = "stood-down"),
    @JsonSubTypes.Type(value = CellRecord.LoadIntended.class, name = "load"),
    @JsonSubTypes.Type(value = CellRecord.UnloadIntended.class, name = "unload"),
    @JsonSubTypes.Type(value = CellRecord.OrderSettled.class, name = "settled"),
    @JsonSubTypes.Type(value = CellRecord.LoadConfirmed.class, name = "loaded"),
    @JsonSubTypes.Type(value = CellRecord.SlotRetired.class, name = "retired"),
    @JsonSubTypes.Type(value = CellRecord.TargetRemoved.class, name = "target-gone"),
    @JsonSubTypes.Type(value = CellRecord.ConfigAdopted.class, name = "adopted"),
    @JsonSubTypes.Type(value = CellRecord.TargetExcluded.class, name = "excluded"),
    @JsonSubTypes.Type(value = CellRecord.TargetDied.class, name = "died"),
    @JsonSubTypes.Type(value = CellRecord.CondemnationLifted.class, name = "lifted"),
    @JsonSubTypes.Type(value = CellRecord.CallClaimed.class, name = "call"),
    @JsonSubTypes.Type(value = CellRecord.CallReleased.class, name = "call-released"),
    @JsonSubTypes.Type(value = CellRecord.CallEnded.class, name = "call-ended"),
    @JsonSubTypes.Type(value = CellRecord.CallsForgotten.class, name = "forgotten"),
    @JsonSubTypes.Type(value = CellRecord.CellCheckpoint.class, name = "checkpoint")
})
public sealed interface CellRecord {
    /** Returns the name of a cell's stream. */
    static String streamName(String cell) {
        return "cell-" + cell;
    }

    /** One run of one node: the incarnation differs for each process start. */
    record Author(String nodeId, long incarnation) {}

    /**
     * Claims the lease. Accepted when {@code previousEpoch} is the current epoch (-1 for none) and either it was
     * released or its last renewal is at {@code previousRenewalOffset}. The new epoch is this record's offset.
     *
     * @param peerAddress where other nodes reach the holder
     * @param durationMillis how long the lease lasts from each renewal
     */
    record LeaseClaimed(
            Author holder, String peerAddress, long previousEpoch, long previousRenewalOffset, long durationMillis)
            implements CellRecord {}

    /** Renews the lease of an epoch. */
    record LeaseRenewed(long epoch) implements CellRecord {}

    /** Gives the lease of an epoch up, so that another claim needs no wait. */
    record LeaseReleased(long epoch) implements CellRecord {}

    /**
     * Tells which VM an author runs on, by its own word.
     *
     * @param listed whether the author has seen that VM on the platform's list
     */
    record AuthorPlaced(Author author, String vmId, boolean listed) implements CellRecord {}

    /**
     * The author has sent its last order: every order for intents of the epochs up to {@code throughEpoch} was answered
     * or never sent. Intents that it never sent an order for are in {@code neverSent}.
     */
    record AuthorSteppedDown(Author author, long throughEpoch, List<Long> answered, List<Long> neverSent)
            implements CellRecord {}

    /**
     * Reserves one replica and its memory on a target and allows the author to send load orders that carry this record's
     * offset as their fencing number. Accepted only when the fold finds room within both limits. For an artifact that
     * already has a slot on the target it opens a further order on that slot.
     *
     * @param targetVmId the VM that the target runs on
     * @param memoryLimitBytes the target's memory in the configuration in force
     * @param replicaLimit the cell's share of the artifact's replicas in the configuration in force
     */
    record LoadIntended(
            long epoch,
            Author author,
            String target,
            String targetVmId,
            ArtifactId artifact,
            String version,
            long sizeBytes,
            boolean fencing,
            long memoryLimitBytes,
            int replicaLimit)
            implements CellRecord {}

    /** Opens an unload order for a slot; the slot stays reserved until it is retired. */
    record UnloadIntended(long epoch, Author author, String target, ArtifactId artifact) implements CellRecord {}

    /** Why an order can't have an effect any more. */
    enum Evidence {
        ANSWERED,
        NEVER_SENT,
        HIGHER_NUMBER_ACCEPTED,
        AUTHOR_GONE,
        TARGET_RESTARTED,
        TARGET_GONE,
        OPERATOR_WORD
    }

    /** The order of the intent at {@code intentOffset} has arrived or can't arrive any more. */
    record OrderSettled(long epoch, long intentOffset, Evidence evidence) implements CellRecord {}

    /** The engine lists the artifact as loaded. */
    record LoadConfirmed(long epoch, String target, ArtifactId artifact) implements CellRecord {}

    /** The engine lists the artifact as absent. Accepted only when the slot has no open order. */
    record SlotRetired(long epoch, String target, ArtifactId artifact) implements CellRecord {}

    /** The VM of a target is gone for good; every slot on that VM is retired. */
    record TargetRemoved(long epoch, String target, String vmId) implements CellRecord {}

    /**
     * From here on the cell's replicas follow this version of the configuration. Accepted only when it is higher than the
     * one adopted before, so that a holder with older knowledge can't take the cell back.
     */
    record ConfigAdopted(long epoch, long configVersion) implements CellRecord {}

    /** An operator takes a target out of service, or puts it back. */
    record TargetExcluded(String target, boolean excluded) implements CellRecord {}

    /** A target died while it ran requests with these fingerprints. */
    record TargetDied(long epoch, String target, String deathId, List<String> fingerprints, boolean sole)
            implements CellRecord {}

    /** An operator lifts the condemnation of a fingerprint, or it has expired. */
    record CondemnationLifted(String fingerprint) implements CellRecord {}

    /**
     * Claims a call that may not be repeated. The first claim of a key in log order wins; it alone may be dispatched, once.
     *
     * @param callKey tenant, service and idempotency key in one text
     * @param attemptId unique for each attempt to claim
     * @param bodyFingerprint hash of method, path and body; a repeat must match
     */
    record CallClaimed(String callKey, String attemptId, Author author, String bodyFingerprint) implements CellRecord {}

    /** The attempt was given up before any dispatch; the key can be claimed again. */
    record CallReleased(String callKey, String attemptId) implements CellRecord {}

    /** How a claimed call ended. */
    enum CallOutcome {
        ANSWERED,
        UNKNOWN
    }

    /** The outcome of a claimed call; the answer is kept when it is small. */
    record CallEnded(
            String callKey,
            String attemptId,
            CallOutcome outcome,
            int status,
            String contentType,
            byte[] answer,
            boolean answerKept)
            implements CellRecord {}

    /** Keys whose claim is at or before an offset have outlived their validity. */
    record CallsForgotten(long epoch, long throughOffset) implements CellRecord {}

    /** The state after all records through an offset, in {@code CellState}'s own encoding. */
    record CellCheckpoint(long throughOffset, byte[] state) implements CellRecord {}
}
