package org.poplarwharf.internal.routing;

import org.poplarwharf.plugins.ReplicaSelector.Candidate;

/**
 * Estimates a replica's current load from the lease holder's own count and the engine's delayed report.
 *
 * <p>Invariant: the estimate is never below the lease holder's own count. Stateless and thread-safe.
 */
final class LoadEstimate {
    /** Older reports are ignored, as they no longer reflect requests sent by others. */
    private static final long MAX_REPORT_AGE_MILLIS = 2_000;

    private LoadEstimate() {}

    static int load(Candidate candidate) {
        if (candidate.reportAgeMillis() > MAX_REPORT_AGE_MILLIS) {
            return candidate.inFlight();
        }
        return Math.max(candidate.inFlight(), candidate.reportedLoad());
    }

    static boolean hasCapacity(Candidate candidate) {
        return candidate.inFlight() < candidate.maxConcurrent();
    }

    /** Returns the load divided by the replica's concurrency limit. */
    static double utilization(Candidate candidate) {
        return (double) load(candidate) / candidate.maxConcurrent();
    }
}
