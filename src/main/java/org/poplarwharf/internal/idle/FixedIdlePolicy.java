package org.poplarwharf.internal.idle;

import java.util.OptionalLong;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.IdlePolicy;

/**
 * Keeps each idle artifact loaded for a fixed time and evicts the least recently used artifact first.
 *
 * <p>Stateless and thread-safe.
 */
public final class FixedIdlePolicy implements IdlePolicy {
    private final long keepAliveMillis;

    public FixedIdlePolicy(long keepAliveMillis) {
        this.keepAliveMillis = keepAliveMillis;
    }

    @Override
    public void onRequest(ArtifactId artifact, long nowMillis) {
        // A fixed keep-alive does not depend on requests.
    }

    @Override
    public OptionalLong keepAliveMillis(ArtifactId artifact, long nowMillis) {
        return OptionalLong.of(keepAliveMillis);
    }

    @Override
    public double retentionValue(
            ArtifactId artifact, long lastUseMillis, long loadMillis, long sizeBytes, long nowMillis) {
        return lastUseMillis;
    }

    @Override
    public OptionalLong preloadAtMillis(ArtifactId artifact, long nowMillis) {
        return OptionalLong.empty();
    }
}
