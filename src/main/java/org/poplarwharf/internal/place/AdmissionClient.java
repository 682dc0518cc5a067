package org.poplarwharf.internal.place;

import io.activej.promise.Promise;
import org.poplarwharf.internal.admission.GrantCompletion;

/**
 * Where requests get places on targets, whichever node holds the cell.
 *
 * <p>Called from the control thread only. Each place must be given back exactly once.
 */
public interface AdmissionClient {
    /** Waits for a place; fails when the holder refuses, or none is reachable and no warm replica is known. */
    Promise<Permit> acquire(PermitRequest request);

    /** The wish is given up; a place that still arrives is given back here, and the promise of the wish fails. */
    void cancel(String requestId);

    /** A place is given back. */
    void release(Permit place, GrantCompletion.Outcome outcome, long serviceMillis, long firstByteMillis);
}
