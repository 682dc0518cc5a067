package org.poplarwharf.soak;

import java.util.Set;

/**
 * A caller's request and its end. Immutable and thread-safe.
 *
 * @param path the request's path and query
 * @param model the model that it asks for; empty where it asks for none
 * @param process the lifetime of the gateway that took it
 * @param status of the answer; zero where none came
 * @param digest tells whether the answer bears the target's digest
 * @param answeredId the id that the answer bears
 * @param complete tells whether the answer came to its end
 */
record Call(
        String id,
        CallKind kind,
        String path,
        String model,
        String process,
        long sentMillis,
        long endMillis,
        int status,
        boolean digest,
        String answeredId,
        String body,
        boolean complete) {
    /** Statuses by which a gateway or a target promises that the request has not run. */
    private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

    boolean served() {
        return status == 200 && complete;
    }

    boolean saysNotRun() {
        return NOT_RUN.contains(status);
    }

    boolean cut() {
        return status == 0 || !complete;
    }

    long tookMillis() {
        return endMillis - sentMillis;
    }
}
