package org.poplarwharf.plugins;

import java.util.OptionalLong;

/**
 * Decides how long an idle artifact stays loaded in accelerator memory, and which one is evicted first.
 *
 * <p>Called on the control thread only; an implementation may keep state without locks. Times are monotonic
 * milliseconds.
 */
public interface IdlePolicy {
    /** Notifies the policy that a request for the artifact arrived. */
    void onRequest(ArtifactId artifact, long nowMillis);

    /** Returns how long after its last use the artifact may be unloaded; empty if it is never unloaded. */
    OptionalLong keepAliveMillis(ArtifactId artifact, long nowMillis);

    /**
     * Returns how long after its last use the artifact may be unloaded. Overridden by policies that depend on the size.
     *
     * @param sizeBytes the accelerator memory that the artifact takes
     */
    default OptionalLong keepAliveMillis(ArtifactId artifact, long sizeBytes, long nowMillis) {
        return keepAliveMillis(artifact, nowMillis);
    }

    /**
     * Returns the value of keeping an idle artifact loaded; the artifact with the lowest value is evicted first.
     *
     * @param lastUseMillis the time when its last request ended
     * @param loadMillis the time that it takes to load the artifact again
     */
    double retentionValue(ArtifactId artifact, long lastUseMillis, long loadMillis, long sizeBytes, long nowMillis);

    /** Returns the time to load an absent artifact before its next expected request; empty if it is not preloaded. */
    OptionalLong preloadAtMillis(ArtifactId artifact, long nowMillis);

    /** Creates policies, one for each cell. The extension point that idle policies register under. */
    interface Factory {
        /** Creates a policy; {@code keepAliveMillis} is the operator's setting and the policy's only parameter. */
        IdlePolicy create(long keepAliveMillis);
    }
}
