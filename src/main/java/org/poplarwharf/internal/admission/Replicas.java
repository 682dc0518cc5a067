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
public interface Replicas {
    /** Returns the replicas that are loaded and may take new work now. */
    List<Replica> serving(ArtifactId artifact);

    /**
     * Predicts when the next replica can serve, from loads under way, their place in the store's queue and memory that
     * can be freed.
     *
     * @return milliseconds from now; empty when no replica can come up, for example while the log is down
     */
    OptionalLong readyInMillis(ArtifactId artifact);

    /** Returns why {@link #readyInMillis} is empty, as the code of the refusal. */
    default FailureCode whyNotReady(ArtifactId artifact) {
        return FailureCode.NO_CAPACITY;
    }

    /**
     * Tells the present demand for an artifact, so that a load is started, ordered among others, or dropped.
     *
     * @param waiting requests that wait for a place
     * @param highestPriority the highest class priority among them
     * @param earliestDeadlineMillis the earliest deadline among them, monotonic milliseconds
     */
    void demand(ArtifactId artifact, int waiting, int highestPriority, long earliestDeadlineMillis);

    /** A place was granted; {@link #released} follows. */
    void acquired(ArtifactId artifact, String target);

    /** A place was given back. */
    void released(ArtifactId artifact, String target);

    /** Tells how a target behaved, so that it can be suspected. */
    void observed(String target, Finished.Outcome outcome);

    /** Tells that a suspected fingerprint was answered by a target on which it ran apart from every other suspect. */
    default void cleared(String fingerprint) {}

    /** Calls the listener whenever {@link #serving} or {@link #readyInMillis} may have changed. */
    void onChange(Runnable listener);

    /**
     * A replica that can run requests.
     *
     * @param reportedLoad running and queued requests by the engine's last report
     * @param reportAgeMillis age of that report
     */
    record Replica(
            String target, String address, String zone, int maxConcurrent, int reportedLoad, long reportAgeMillis) {}
}
