package org.poplarwharf.internal.admission;

import java.util.List;
import java.util.OptionalLong;
import org.poplarwharf.FailureCode;
import org.poplarwharf.plugins.ArtifactId;

/**
 * The replicas of a cell, as admission sees them: reports which replicas are ready and receives the demand for more.
 * Implemented by the cell's lease holder.
 *
 * <p>Must be called on the control thread only.
 */
public interface ReplicaPool {
    /** Returns the replicas that are loaded and accept new requests now. */
    List<Replica> servingReplicas(ArtifactId artifact);

    /**
     * Predicts when the next replica is ready, from loads in progress, their position in the store's queue and
     * memory that can be freed by eviction.
     *
     * @return milliseconds from now; empty if no replica can be loaded, for example while the log is unavailable
     */
    OptionalLong readyInMillis(ArtifactId artifact);

    /** Returns the failure code for refusing requests while {@link #readyInMillis} is empty. */
    default FailureCode notReadyCode(ArtifactId artifact) {
        return FailureCode.NO_CAPACITY;
    }

    /**
     * Updates the demand for an artifact. The demand decides whether a load is started, its order among other loads,
     * and whether it is cancelled.
     *
     * @param waiting number of waiting requests
     * @param highestPriority the highest class priority among them
     * @param earliestDeadlineMillis the earliest deadline among them, in monotonic milliseconds
     */
    void updateDemand(ArtifactId artifact, int waiting, int highestPriority, long earliestDeadlineMillis);

    /** Records that a grant was issued. {@link #recordRelease} is called once it ends. */
    void recordGrant(ArtifactId artifact, String target);

    /** Records that a grant was released. */
    void recordRelease(ArtifactId artifact, String target);

    /** Records the outcome of a request on a target, so that a failing target can be detected. */
    void recordOutcome(String target, GrantCompletion.Outcome outcome);

    /** Records that a suspect fingerprint received a response from a target on which no other suspect was running. */
    default void recordSuspectCleared(String fingerprint) {}

    /**
     * Adds a listener that is called whenever {@link #servingReplicas} or {@link #readyInMillis} may have changed.
     */
    void addChangeListener(Runnable listener);

    /**
     * A replica that can serve requests.
     *
     * @param reportedLoad running plus queued requests in the engine's last report
     * @param reportAgeMillis age of that report
     */
    record Replica(
            String target, String address, String zone, int maxConcurrent, int reportedLoad, long reportAgeMillis) {}
}
