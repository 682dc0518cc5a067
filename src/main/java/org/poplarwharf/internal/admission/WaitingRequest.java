package org.poplarwharf.internal.admission;

import io.activej.promise.SettablePromise;

/**
 * A request that waits for a place. Immutable but for its promise; belongs to the control thread.
 *
 * @param priority of its class, higher goes first
 * @param arrivedAtMillis monotonic time of arrival
 * @param deadlineMillis monotonic time by which the answer must be whole
 * @param waitedForLoad whether no replica was loaded when it arrived
 */
record WaitingRequest(
        String nodeId,
        AdmissionRequest request,
        int priority,
        long arrivedAtMillis,
        long deadlineMillis,
        boolean waitedForLoad,
        SettablePromise<Grant> promise) {}
