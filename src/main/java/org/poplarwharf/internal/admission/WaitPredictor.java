package org.poplarwharf.internal.admission;

import java.util.List;
import java.util.OptionalLong;

/**
 * Predicts how long a request waits for a place: the load still to go, then the requests ahead of it over the rate at which
 * the replicas free places.
 *
 * <p>Belongs to the control thread.
 */
final class WaitPredictor {
    private final ReplicaPool replicas;
    private final ServiceTimeEstimator serviceTimes;
    private final AdmissionLimits limits;

    WaitPredictor(ReplicaPool replicas, ServiceTimeEstimator serviceTimes, AdmissionLimits limits) {
        this.replicas = replicas;
        this.serviceTimes = serviceTimes;
        this.limits = limits;
    }

    /** Returns the wait in milliseconds; empty when no replica is loaded and none can be. */
    OptionalLong waitMillis(AdmissionRequest request, int priority, int ahead, boolean hasFreePlace) {
        List<ReplicaPool.Replica> serving = replicas.servingReplicas(request.artifact());
        if (serving.isEmpty()) {
            return replicas.readyInMillis(request.artifact());
        }
        if (hasFreePlace) {
            return OptionalLong.of(0);
        }
        int places = 0;
        for (ReplicaPool.Replica replica : serving) {
            places += limits.maxInFlight(priority, replica.maxConcurrent());
        }
        double serviceMillis = serviceTimes.expectedMillis(request.artifact(), request.requestClass());
        return OptionalLong.of(Math.round((ahead + 1) * serviceMillis / Math.max(1, places)));
    }

    /** Returns the time that the answer of a request which has to wait may take once it has a place. */
    long upperServiceMillis(AdmissionRequest request) {
        return Math.round(serviceTimes.upperEstimateMillis(request.artifact(), request.requestClass()));
    }

    /** Returns the time that the answer takes once it has a place. */
    long serviceMillis(AdmissionRequest request) {
        return Math.round(serviceTimes.expectedMillis(request.artifact(), request.requestClass()));
    }
}
