package org.poplarwharf.soak;

import java.util.OptionalLong;
import java.util.Set;

/**
 * A caller's request and its outcome. Immutable and thread-safe.
 *
 * @param path the request's path and query
 * @param model the requested model; empty if the request names none
 * @param gatewayIncarnation the process run of the gateway that received the request
 * @param turnMillis when the request had no other one before it on its connection; empty if it was not sent whole, or if
 *     the response before it was not whole
 * @param status the response status; zero if no response arrived
 * @param hasDigest whether the response has the target's digest header
 * @param responseId the request id in the response
 * @param complete whether the response was received completely
 */
record RecordedCall(
        String id,
        CallKind kind,
        String path,
        String model,
        String gatewayIncarnation,
        long sentMillis,
        OptionalLong turnMillis,
        long endMillis,
        int status,
        boolean hasDigest,
        String responseId,
        String body,
        boolean complete) {
    /** Statuses by which a gateway or target guarantees that the request has not run. */
    private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

    boolean isSuccessful() {
        return status == 200 && complete;
    }

    boolean indicatesNotRun() {
        return NOT_RUN.contains(status);
    }

    boolean isIncomplete() {
        return status == 0 || !complete;
    }

    /** Returns the time from the request's turn to the end of its response; gateways count timeouts from there. */
    long durationMillis() {
        return endMillis - turnMillis.orElse(endMillis);
    }

    String gatewayName() {
        return gatewayIncarnation.substring(0, gatewayIncarnation.indexOf('/'));
    }
}
