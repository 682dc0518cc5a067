package org.poplarwharf.internal.admission;

import java.util.List;
import org.poplarwharf.plugins.ArtifactId;

/**
 * A request for a permit on a replica. Immutable and thread-safe.
 *
 * @param requestId unique per admission attempt
 * @param requestClass name of the request class, which sets the priority and the queue limit
 * @param zone the availability zone of the node that holds the caller's connection
 * @param remainingMillis time left until the caller's deadline at the time of sending
 * @param fingerprint hash of tenant, artifact and body; identifies requests that crash targets
 * @param prefixHash hash of the prompt prefix, zero if unknown
 * @param excludedTargets targets on which this request already failed
 */
public record AdmissionRequest(
        String requestId,
        ArtifactId artifact,
        String requestClass,
        String tenant,
        String zone,
        long remainingMillis,
        String fingerprint,
        long prefixHash,
        List<String> excludedTargets) {}
