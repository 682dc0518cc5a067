package org.poplarwharf.internal.admission;

import java.util.List;
import org.poplarwharf.plugins.ArtifactId;

/**
 * A request for a place on a replica. Immutable and thread-safe.
 *
 * @param requestId unique for each attempt to be admitted
 * @param requestClass the class of the request
 * @param zone the availability zone of the node that holds the caller's connection
 * @param remainingMillis time left until the caller's deadline when this was sent
 * @param fingerprint hash of tenant, artifact and body, to recognise a request that crashes targets
 * @param prefixHash hash of the prompt's beginning, zero when unknown
 * @param excludedTargets targets that already failed this request
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
