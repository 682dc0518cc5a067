package org.poplarwharf.internal.admission;

import io.activej.promise.SettablePromise;

/**
 * A request that waits for a permit. Immutable except for its promise. Confined to the control thread.
 *
 * @param priority priority of the request class; higher values are served first
 * @param arrivedAtMillis monotonic time of arrival
 * @param deadlineMillis monotonic time by which the response must be complete
 * @param waitedForLoad whether no replica was loaded when the request arrived
 */
record WaitingRequest(
        String nodeId,
        AdmissionRequest request,
        int priority,
        long arrivedAtMillis,
        long deadlineMillis,
        boolean waitedForLoad,
        SettablePromise<Grant> promise) {}
