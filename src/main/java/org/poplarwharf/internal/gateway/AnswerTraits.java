package org.poplarwharf.internal.gateway;

import java.util.Optional;

/**
 * What a target says of its answer. Immutable and thread-safe.
 *
 * @param requestId the request that it answers, where it says so
 * @param authentic whether it bears a target's own digest
 * @param notRun whether it states that the request did not run
 */
public record AnswerTraits(Optional<String> requestId, boolean authentic, boolean notRun) {}
