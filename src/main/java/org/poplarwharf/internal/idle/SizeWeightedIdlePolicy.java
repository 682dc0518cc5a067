package org.poplarwharf.internal.idle;

import java.util.OptionalLong;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.IdlePolicy;

/**
 * Keeps small artifacts loaded longer than large ones, so that memory multiplied by keep-alive is about the same for
 * every artifact. Evicts the least recently used artifact first.
 *
 * <p>Stateless and thread-safe.
 */
public final class SizeWeightedIdlePolicy implements IdlePolicy {
    private final long keepAliveMillis;

    /** Creates a policy with the keep-alive of an artifact of 16 GiB. */
    public SizeWeightedIdlePolicy(long keepAliveMillis) {
        this.keepAliveMillis = keepAliveMillis;
    }

    @Override
    public void onRequest(ArtifactId artifact, long nowMillis) {
        // The keep-alive depends on the size only.
    }

    @Override
    public OptionalLong keepAliveMillis(ArtifactId artifact, long nowMillis) {
        return OptionalLong.of(keepAliveMillis);
    }

    @Override
    public OptionalLong keepAliveMillis(ArtifactId artifact, long sizeBytes, long nowMillis) {
        return OptionalLong.of(Math.round(keepAliveMillis * SizeWeight.keepAliveFactor(sizeBytes)));
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
