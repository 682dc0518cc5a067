package org.poplarwharf.internal.entry;

import java.util.Optional;
import org.poplarwharf.internal.config.FleetConfig.ClassSpec;
import org.poplarwharf.plugins.ArtifactId;

/**
 * A validated request of a caller. Immutable by convention.
 *
 * @param requestId the caller's id, or a generated one; echoed in the response
 * @param deadlineMillis the deadline on the monotonic clock
 * @param method the HTTP method
 * @param path the path and query that are sent to the target
 * @param streamed whether the response to a completion is streamed
 * @param fingerprint hash of tenant, artifact and body
 * @param prefixHash hash of the first bytes of the body, zero for services
 * @param atMostOnce whether the request may run at most once
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
