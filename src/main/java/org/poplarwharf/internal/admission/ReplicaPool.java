package org.poplarwharf.internal.admission;

import java.util.List;
import java.util.OptionalLong;
import org.poplarwharf.FailureCode;
import org.poplarwharf.plugins.ArtifactId;

/**
 * What admission needs to know of a cell's replicas, and how it asks for more. Implemented by the cell's holder.
 *
 * <p>Called from the control thread only.
 */
public interface ReplicaPool {
    /** Returns the replicas that are loaded and may take new work now. */
    List<Replica> servingReplicas(ArtifactId artifact);

    /**
     * Predicts when the next replica can serve, from loads under way, their place in the store's queue and memory that
     * can be freed.
     *
     * @return milliseconds from now; empty when no replica can come up, for example while the log is down
     */
    OptionalLong readyInMillis(ArtifactId artifact);

    /** Returns why {@link #readyInMillis} is empty, as the code of the refusal. */
    default FailureCode notReadyCode(ArtifactId artifact) {
        return FailureCode.NO_CAPACITY;
    }

    /**
     * Tells the present demand for an artifact, so that a load is started, ordered among others, or dropped.
     *
     * @param waiting requests that wait for a place
     * @param highestPriority the highest class priority among them
     * @param earliestDeadlineMillis the earliest deadline among them, monotonic milliseconds
     */
    void updateDemand(ArtifactId artifact, int waiting, int highestPriority, long earliestDeadlineMillis);

    /** A place was granted; {@link #recordRelease} follows. */
    void recordGrant(ArtifactId artifact, String target);

    /** A place was given back. */
    void recordRelease(ArtifactId artifact, String target);

    /** Tells how a target behaved, so that it can be suspected. */
    void recordOutcome(String target, GrantCompletion.Outcome outcome);

    /** Tells that a suspected fingerprint was answered by a target on which it ran apart from every other suspect. */
    default void recordSuspectCleared(String fingerprint) {}

    /** Calls the listener whenever {@link #servingReplicas} or {@link #readyInMillis} may have changed. */
    void addChangeListener(Runnable listener);

    /**
     * A replica that can run requests.
     *
     * @param reportedLoad running and queued requests by the engine's last report
     * @param reportAgeMillis age of that report
     */
    record Replica(
            String target, String address, String zone, int maxConcurrent, int reportedLoad, long reportAgeMillis) {}
}
