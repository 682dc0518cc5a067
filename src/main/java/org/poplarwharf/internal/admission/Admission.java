package org.poplarwharf.internal.admission;

import io.activej.promise.Promise;
import java.util.List;
import org.poplarwharf.plugins.ArtifactId;

/**
 * Admits requests to the replicas of one cell, at the node that holds the cell's lease.
 *
 * <p>Called from the control thread only.
 */
public interface Admission {
    /**
     * Waits for a place.
     *
     * @param nodeId the node that asks; its places are freed when it is lost
     * @return a grant, or a failure whose code says why, at once when the deadline can't be met
     */
    Promise<Grant> admit(String nodeId, AdmissionRequest request);

    /** The request needs no place any more. */
    void cancel(String requestId);

    /** A place is given back. */
    void release(GrantCompletion finished);

    /** A node is lost: its waiting requests are dropped and its places freed. */
    void onNodeLost(String nodeId);

    /**
     * A target has died: its places are freed and the fingerprints that were in flight there become suspects.
     *
     * @param deathId the same for each report of one death
     */
    TargetDeathReport onTargetDied(String target, String deathId);

    /** A target that was in doubt answered and had not died: what was in flight there is no suspect. */
    void onTargetAlive(String target);

    /** A fingerprint is no suspect any more, by an operator's word or because its time has passed. */
    void clearSuspect(String fingerprint);

    /** This node is no longer the holder: whatever waits is refused as not run, so that it is asked for at the new one. */
    void close();

    /** Returns how many requests wait and how many hold a place. */
    Counts counts();

    /** Present numbers of a cell's admission. */
    record Counts(int waiting, int inFlight) {}

    /** Returns the requests that wait and run now, for operators. */
    default List<QueueStatus> queues() {
        return List.of();
    }

    /** Requests of one artifact and class. */
    record QueueStatus(ArtifactId artifact, String requestClass, int waiting, int running) {}
}
