package org.poplarwharf.internal.admission;

import io.activej.promise.Promise;
import java.util.List;
import org.poplarwharf.plugins.ArtifactId;

/**
 * Admission control for the replicas of one cell. Runs on the node that holds the cell's lease.
 *
 * <p>Must be called on the control thread only.
 */
public interface AdmissionController {
    /**
     * Queues a request until a replica has a free permit for it.
     *
     * @param nodeId the node that sent the request; its permits are released when the connection to it is lost
     * @return a grant, or a failure whose code gives the reason; fails immediately if the deadline can't be met
     */
    Promise<Grant> admit(String nodeId, AdmissionRequest request);

    /** Cancels a request that is still waiting. Does nothing if it has been granted or refused. */
    void cancel(String requestId);

    /** Releases the permit of a finished grant and records its outcome. */
    void release(GrantCompletion completion);

    /** Cancels the waiting requests of a lost node and releases its permits. */
    void onNodeLost(String nodeId);

    /**
     * Releases the permits of a target that died and marks the fingerprints that were in flight there as suspects.
     *
     * @param deathId identifies the death; the same in every report of one death
     */
    TargetDeathReport onTargetDied(String target, String deathId);

    /**
     * Records that a target whose connection was lost is still alive. The requests that were in flight there are not
     * suspects.
     */
    void onTargetAlive(String target);

    /**
     * Clears a suspect fingerprint, because an operator lifted its condemnation, a later response cleared it, or the
     * suspicion expired.
     */
    void clearSuspect(String fingerprint);

    /**
     * Stops admission because this node is no longer the lease holder. Waiting requests are refused as not run, so
     * that they can be retried at the new holder.
     */
    void close();

    /** Returns the number of waiting requests and of requests in flight. */
    Counts counts();

    /** Current number of waiting requests and of requests that hold a permit. */
    record Counts(int waiting, int inFlight) {}

    /** Returns the current queues, for the status report to operators. */
    default List<QueueStatus> queues() {
        return List.of();
    }

    /** Number of waiting and running requests of one artifact and request class. */
    record QueueStatus(ArtifactId artifact, String requestClass, int waiting, int running) {}
}
