package org.poplarwharf.internal.gateway;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * Metadata that a target attaches to its response. Immutable and thread-safe.
 *
 * @param requestId the id of the request that the response belongs to, if the target states it
 * @param authentic whether the response carries the target's own digest
 * @param notRun whether the target states that it did not run the request
 * @param requestsPerSecondLimit the requests per second that the target takes from all nodes together, if it names a limit
 * @param targetLeaving whether the target states that it leaves and takes no new requests
 * @param declinesPerSecond how many requests the target can decline in a second without failing, if it states that it is
 *     brittle
 * @param pauseMillis how long the target takes no requests from this node, if it states that
 */
public record ResponseTraits(
        Optional<String> requestId,
        boolean authentic,
        boolean notRun,
        OptionalDouble requestsPerSecondLimit,
        OptionalDouble declinesPerSecond,
        boolean targetLeaving,
        OptionalLong pauseMillis) {}
