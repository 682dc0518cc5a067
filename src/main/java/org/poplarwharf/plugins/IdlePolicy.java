package org.poplarwharf.plugins;

import java.util.OptionalLong;

/**
 * Decides how long an idle artifact keeps its accelerator memory, and which one gives way first.
 *
 * <p>Called from the control thread only; an implementation may keep state without locks. Times are monotonic
 * milliseconds.
 */
public interface IdlePolicy {
    /** Tells that a request for the artifact arrived. */
    void onRequest(ArtifactId artifact, long nowMillis);

    /** Returns how long after its last use the artifact may be unloaded; empty keeps it for good. */
    OptionalLong keepAliveMillis(ArtifactId artifact, long nowMillis);

    /**
     * Returns how long after its last use the artifact may be unloaded, for a policy that weighs its size.
     *
     * @param sizeBytes the memory that it takes
     */
    default OptionalLong keepAliveMillis(ArtifactId artifact, long sizeBytes, long nowMillis) {
        return keepAliveMillis(artifact, nowMillis);
    }

    /**
     * Returns the worth of keeping an idle artifact; the one with the lowest is evicted first.
     *
     * @param lastUseMillis when its last request ended
     * @param loadMillis how long loading it again takes
     */
    double retentionValue(ArtifactId artifact, long lastUseMillis, long loadMillis, long sizeBytes, long nowMillis);

    /** Returns when an absent artifact should be loaded ahead of its next request; empty for never. */
    OptionalLong preloadAtMillis(ArtifactId artifact, long nowMillis);

    /** Makes policies, one for each cell. The extension point under which an idle policy registers. */
    interface Factory {
        /** Creates a policy; {@code keepAliveMillis} is the operator's setting, the policy's one dial. */
        IdlePolicy create(long keepAliveMillis);
    }
}
