package org.poplarwharf.internal.routing;

import org.poplarwharf.plugins.ReplicaSelector.Candidate;

/**
 * Estimates a replica's present load from the holder's own count and the engine's lagging report.
 *
 * <p>Invariant: the estimate is never below the holder's own count. Stateless and thread-safe.
 */
final class LoadEstimate {
    /** Reports older than this say nothing about requests that others have sent. */
    private static final long REPORT_VALID_MILLIS = 2_000;

    private LoadEstimate() {}

    static int load(Candidate candidate) {
        if (candidate.reportAgeMillis() > REPORT_VALID_MILLIS) {
            return candidate.inFlight();
        }
        return Math.max(candidate.inFlight(), candidate.reportedLoad());
    }

    static boolean hasCapacity(Candidate candidate) {
        return candidate.inFlight() < candidate.maxConcurrent();
    }

    /** Returns the share of the replica's places that are taken. */
    static double utilization(Candidate candidate) {
        return (double) load(candidate) / candidate.maxConcurrent();
    }
}
