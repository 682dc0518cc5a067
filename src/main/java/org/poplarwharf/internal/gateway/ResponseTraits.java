package org.poplarwharf.internal.gateway;

import java.util.Optional;

/**
 * Metadata that a target attaches to its response. Immutable and thread-safe.
 *
 * @param requestId the id of the request that the response belongs to, if the target states it
 * @param authentic whether the response carries the target's own digest
 * @param notRun whether the target states that it did not run the request
 */
public record ResponseTraits(Optional<String> requestId, boolean authentic, boolean notRun) {}
