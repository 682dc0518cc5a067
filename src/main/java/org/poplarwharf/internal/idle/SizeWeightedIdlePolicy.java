package org.poplarwharf.internal.idle;

import java.util.OptionalLong;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.IdlePolicy;

/**
 * Keeps small artifacts longer than large ones, so that the memory-time of a keep-alive is about the same for all, and
 * evicts the least recently used first.
 *
 * <p>Stateless and thread-safe.
 */
public final class SizeWeightedIdlePolicy implements IdlePolicy {
    private final long keepAliveMillis;

    /** Creates the policy; the keep-alive holds for an artifact of 16 GiB. */
    public SizeWeightedIdlePolicy(long keepAliveMillis) {
        this.keepAliveMillis = keepAliveMillis;
    }

    @Override
    public void onRequest(ArtifactId artifact, long nowMillis) {
        // The keep-alive depends on the size alone.
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
    public double keepWorth(ArtifactId artifact, long lastUseMillis, long loadMillis, long sizeBytes, long nowMillis) {
        return lastUseMillis;
    }

    @Override
    public OptionalLong loadAheadAtMillis(ArtifactId artifact, long nowMillis) {
        return OptionalLong.empty();
    }
}
