package org.poplarwharf.internal.state;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.poplarwharf.plugins.ArtifactId;

/**
 * A record of a cell's stream. The state of the cell is a pure fold of these records in log order.
 *
 * <p>A record with an {@code epoch} takes effect only while the lease of that epoch is the latest accepted claim. The
 * fold also decides every other condition, so that every reader reaches the same state. Immutable and thread-safe.
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

    /** A process of a node. The incarnation differs for each process start. */
    record Author(String nodeId, long incarnation) {}

    /**
     * Claims the lease. Accepted when {@code previousEpoch} is the current epoch (-1 for none) and either that lease
     * was released or its last renewal is at {@code previousRenewalOffset}. The offset of this record becomes the new
     * epoch.
     *
     * @param peerAddress the address at which other nodes reach the holder
     * @param durationMillis how long the lease is valid after the claim and after each renewal
     */
    record LeaseClaimed(
            Author holder, String peerAddress, long previousEpoch, long previousRenewalOffset, long durationMillis)
            implements CellRecord {}

    /** Renews the lease of an epoch. */
    record LeaseRenewed(long epoch) implements CellRecord {}

    /** Releases the lease of an epoch, so that the next claim does not have to wait for it to expire. */
    record LeaseReleased(long epoch) implements CellRecord {}

    /**
     * Reports the VM that an author runs on, as the author itself states it.
     *
     * @param listed whether the author has found that VM in the platform's VM list
     */
    record AuthorPlaced(Author author, String vmId, boolean listed) implements CellRecord {}

    /**
     * States that the author sends no further orders. Every order for an intent of an epoch up to {@code throughEpoch}
     * either has a response, and its intent is in {@code answered}, or was never sent, and its intent is in {@code
     * neverSent}.
     */
    record AuthorSteppedDown(Author author, long throughEpoch, List<Long> answered, List<Long> neverSent)
            implements CellRecord {}

    /**
     * Reserves one replica and its memory on a target, and allows the author to send load orders with the offset of
     * this record as their fencing number. Accepted only when both limits permit it. If the artifact already has a slot
     * on the target, the record opens another order for that slot.
     *
     * @param targetVmId the VM that the target runs on
     * @param memoryLimitBytes the memory of the target in the current configuration
     * @param replicaLimit the cell's quota of replicas of the artifact in the current configuration
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

    /** Opens an unload order for a slot. The slot stays reserved until it is retired. */
    record UnloadIntended(long epoch, Author author, String target, ArtifactId artifact) implements CellRecord {}

    /** The reason why an order can no longer take effect. */
    enum Evidence {
        ANSWERED,
        NEVER_SENT,
        HIGHER_NUMBER_ACCEPTED,
        AUTHOR_GONE,
        TARGET_RESTARTED,
        TARGET_GONE,
        OPERATOR_WORD
    }

    /** States that the order of the intent at {@code intentOffset} has taken effect or can no longer do so. */
    record OrderSettled(long epoch, long intentOffset, Evidence evidence) implements CellRecord {}

    /** States that the engine reports the artifact as loaded. */
    record LoadConfirmed(long epoch, String target, ArtifactId artifact) implements CellRecord {}

    /** States that the engine reports the artifact as absent. Accepted only when the slot has no open order. */
    record SlotRetired(long epoch, String target, ArtifactId artifact) implements CellRecord {}

    /** States that the VM of a target no longer exists. Every slot on that VM is retired. */
    record TargetRemoved(long epoch, String target, String vmId) implements CellRecord {}

    /**
     * Makes the cell's replicas follow this version of the configuration. Accepted only when the version is higher than
     * the one adopted before, so that a holder with an outdated configuration cannot roll the cell back.
     */
    record ConfigAdopted(long epoch, long configVersion) implements CellRecord {}

    /** Takes a target out of service, or puts it back, on behalf of an operator. */
    record TargetExcluded(String target, boolean excluded) implements CellRecord {}

    /** Reports that a target died while it ran requests with these fingerprints. */
    record TargetDied(long epoch, String target, String deathId, List<String> fingerprints, boolean sole)
            implements CellRecord {}

    /** Stops rejecting requests with a fingerprint, because an operator asked for it or the rejection has expired. */
    record CondemnationLifted(String fingerprint) implements CellRecord {}

    /**
     * Claims an at-most-once call. The first claim of a key in log order wins; only that claim may be dispatched, and
     * only once.
     *
     * @param callKey tenant, service and idempotency key in one string
     * @param attemptId unique for each attempt to claim
     * @param bodyFingerprint hash of method, path and body; a repeated call must have the same one
     */
    record CallClaimed(String callKey, String attemptId, Author author, String bodyFingerprint) implements CellRecord {}

    /** Releases a claim whose attempt was abandoned before any dispatch. The key can then be claimed again. */
    record CallReleased(String callKey, String attemptId) implements CellRecord {}

    /** The outcome of a claimed call. */
    enum CallOutcome {
        ANSWERED,
        UNKNOWN
    }

    /** Records the outcome of a claimed call. The response is stored only when it is small. */
    record CallEnded(
            String callKey,
            String attemptId,
            CallOutcome outcome,
            int status,
            String contentType,
            byte[] answer,
            boolean answerKept)
            implements CellRecord {}

    /** Deletes every claim at or before an offset, because the keys of these claims have expired. */
    record CallsForgotten(long epoch, long throughOffset) implements CellRecord {}

    /** A checkpoint of the state after all records through an offset, in the encoding of {@link CellState}. */
    record CellCheckpoint(long throughOffset, byte[] state) implements CellRecord {}
}
