package org.poplarwharf.internal.load;

import java.util.Optional;
import org.poplarwharf.plugins.ArtifactId;

/**
 * One scheduled request of a workload. Immutable and thread-safe.
 *
 * @param number position in the workload, from zero
 * @param atMillis when the request is due, in milliseconds from the start of the run
 * @param artifact the model, adapter or plain service that the request is for
 * @param deadlineMillis time the caller allows for the whole response
 * @param maxTokens length of the response in tokens; zero for a call to a plain service
 * @param path the path after the service name; empty for a request to a model
 * @param idempotencyKey present for a call that must not run twice
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
