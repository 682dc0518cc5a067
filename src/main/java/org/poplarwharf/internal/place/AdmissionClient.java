package org.poplarwharf.internal.place;

import io.activej.promise.Promise;
import org.poplarwharf.internal.admission.GrantCompletion;

/**
 * Acquires permits to run requests on targets, whichever node holds the lease of the cell.
 *
 * <p>Must be called on the control thread only. Each permit must be released exactly once.
 */
public interface AdmissionClient {
    /**
     * Waits for a permit. Fails if the lease holder refuses the request, or if no lease holder is reachable and no
     * warm replica is known.
     */
    Promise<Permit> acquire(PermitRequest request);

    /** Cancels a permit request and fails its promise. A permit that still arrives for it is released. */
    void cancel(String requestId);

    /** Releases a permit and reports the outcome of its request. */
    void release(Permit permit, GrantCompletion.Outcome outcome, long serviceMillis, long firstByteMillis);
}
