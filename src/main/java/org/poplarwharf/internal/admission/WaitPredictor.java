package org.poplarwharf.internal.admission;

import java.util.List;
import java.util.OptionalLong;

/**
 * Predicts how long a request waits for a permit: the remaining load time if no replica is loaded, otherwise the
 * number of requests ahead of it divided by the rate at which the replicas release permits.
 *
 * <p>Confined to the control thread.
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

    /** Returns the predicted wait in milliseconds; empty if no replica is loaded and none can be loaded. */
    OptionalLong waitMillis(AdmissionRequest request, int priority, int aheadCount, boolean hasFreePermit) {
        List<ReplicaPool.Replica> servingReplicas = replicas.servingReplicas(request.artifact());
        if (servingReplicas.isEmpty()) {
            return replicas.readyInMillis(request.artifact());
        }
        if (hasFreePermit) {
            return OptionalLong.of(0);
        }
        int permitCount = 0;
        for (ReplicaPool.Replica replica : servingReplicas) {
            permitCount += limits.maxInFlight(priority, replica.maxConcurrent());
        }
        double serviceMillis = serviceTimes.expectedMillis(request.artifact(), request.requestClass());
        return OptionalLong.of(Math.round((aheadCount + 1) * serviceMillis / Math.max(1, permitCount)));
    }

    /**
     * Returns an upper estimate of the service time in milliseconds, for a request that has to wait for its
     * permit.
     */
    long upperServiceMillis(AdmissionRequest request) {
        return Math.round(serviceTimes.upperEstimateMillis(request.artifact(), request.requestClass()));
    }

    /** Returns the expected service time in milliseconds. */
    long serviceMillis(AdmissionRequest request) {
        return Math.round(serviceTimes.expectedMillis(request.artifact(), request.requestClass()));
    }
}
