package org.poplarwharf.internal.entry;

import java.util.Optional;
import org.poplarwharf.internal.config.FleetConfig.ClassSpec;
import org.poplarwharf.plugins.ArtifactId;

/**
 * A caller's request after it was checked. Immutable by convention.
 *
 * @param requestId the caller's, or one that was made; echoed in the answer
 * @param deadlineMillis when the deadline passes, on the monotonic clock
 * @param method the HTTP method
 * @param path path and query as the target sees them
 * @param streamed whether a completion is to be streamed
 * @param fingerprint hash of tenant, artifact and body
 * @param prefixHash hash of the prompt's beginning, zero for services
 * @param atMostOnce whether it may run at most once
 */
record CallerRequest(
        String requestId,
        ArtifactId artifact,
        String tenant,
        ClassSpec requestClass,
        long arrivedMillis,
        long deadlineMillis,
        String method,
        String path,
        String contentType,
        byte[] body,
        boolean streamed,
        String fingerprint,
        long prefixHash,
        Optional<String> idempotencyKey,
        boolean atMostOnce) {
    boolean isCompletion() {
        return artifact.kind() != ArtifactId.Kind.SERVICE;
    }

    /** Returns the key under which the call is claimed: tenant, service and idempotency key. */
    String callKey() {
        return tenant + "/" + artifact + "/" + idempotencyKey.orElse("");
    }
}
