package org.poplarwharf.internal.admission;

import io.activej.promise.Promise;

/**
 * Admits requests to the replicas of one cell, at the node that holds the cell's lease.
 *
 * <p>Called from the control thread only.
 */
public interface Admission {
    /**
     * Waits for a place.
     *
     * @param nodeId the node that asks; its places are freed when it is lost
     * @return a grant, or a failure whose code says why, at once when the deadline can't be met
     */
    Promise<Grant> admit(String nodeId, AdmitRequest request);

    /** The request needs no place any more. */
    void withdraw(String requestId);

    /** A place is given back. */
    void finished(Finished finished);

    /** A node is lost: its waiting requests are dropped and its places freed. */
    void nodeLost(String nodeId);
}
