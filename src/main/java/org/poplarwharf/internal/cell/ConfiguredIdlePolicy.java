package org.poplarwharf.internal.cell;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.IdlePolicy;

/**
 * Gives each model the idle policy with the keep-alive that the configuration names for it, else the node's.
 *
 * <p>Invariant: models with the same keep-alive share one policy and what it learns. Belongs to the control thread.
 */
final class ConfiguredIdlePolicy implements IdlePolicy {
    private final IdlePolicy.Factory factory;
    private final long defaultKeepAliveMillis;
    private final Supplier<FleetConfig> config;
    private final Map<Long, IdlePolicy> policies = new HashMap<>();

    ConfiguredIdlePolicy(IdlePolicy.Factory factory, long defaultKeepAliveMillis, Supplier<FleetConfig> config) {
        this.factory = factory;
        this.defaultKeepAliveMillis = defaultKeepAliveMillis;
        this.config = config;
    }

    private IdlePolicy of(ArtifactId artifact) {
        long keepAliveMillis = defaultKeepAliveMillis;
        OptionalLong configured = config.get()
                .model(artifact.name())
                .map(model -> model.keepAliveMillis())
                .orElse(OptionalLong.empty());
        if (configured.isPresent()) {
            keepAliveMillis = configured.getAsLong();
        }
        return policies.computeIfAbsent(keepAliveMillis, factory::create);
    }

    @Override
    public void onRequest(ArtifactId artifact, long nowMillis) {
        of(artifact).onRequest(artifact, nowMillis);
    }

    @Override
    public OptionalLong keepAliveMillis(ArtifactId artifact, long nowMillis) {
        return of(artifact).keepAliveMillis(artifact, nowMillis);
    }

    @Override
    public OptionalLong keepAliveMillis(ArtifactId artifact, long sizeBytes, long nowMillis) {
        return of(artifact).keepAliveMillis(artifact, sizeBytes, nowMillis);
    }

    @Override
    public double keepWorth(ArtifactId artifact, long lastUseMillis, long loadMillis, long sizeBytes, long nowMillis) {
        return of(artifact).keepWorth(artifact, lastUseMillis, loadMillis, sizeBytes, nowMillis);
    }

    @Override
    public OptionalLong loadAheadAtMillis(ArtifactId artifact, long nowMillis) {
        return of(artifact).loadAheadAtMillis(artifact, nowMillis);
    }
}
