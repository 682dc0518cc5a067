package org.poplarwharf.internal.load;

import java.util.Optional;
import org.poplarwharf.plugins.ArtifactId;

/**
 * One request of a workload. Immutable and thread-safe.
 *
 * @param atMillis when it is due, from the start of the run
 * @param maxTokens how long its answer is; zero for a call of a service
 * @param path the path behind the service's name; empty for a model
 * @param idempotencyKey set for a call that may not be repeated
 */
public record Arrival(
        int number,
        long atMillis,
        ArtifactId artifact,
        String requestClass,
        String tenant,
        long deadlineMillis,
        int maxTokens,
        String method,
        String path,
        Optional<String> idempotencyKey) {}
