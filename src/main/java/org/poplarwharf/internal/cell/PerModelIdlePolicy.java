package org.poplarwharf.internal.cell;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.IdlePolicy;

/**
 * Delegates to an idle policy with the keep-alive that is configured for the model, or with the default of the node.
 *
 * <p>Invariant: models with the same keep-alive share one policy and its learned state. Confined to the control
 * thread.
 */
final class PerModelIdlePolicy implements IdlePolicy {
    private final IdlePolicy.Factory factory;
    private final long defaultKeepAliveMillis;
    private final Supplier<FleetConfig> config;
    private final Map<Long, IdlePolicy> policies = new HashMap<>();

    PerModelIdlePolicy(IdlePolicy.Factory factory, long defaultKeepAliveMillis, Supplier<FleetConfig> config) {
        this.factory = factory;
        this.defaultKeepAliveMillis = defaultKeepAliveMillis;
        this.config = config;
    }

    private IdlePolicy policyFor(ArtifactId artifact) {
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
        policyFor(artifact).onRequest(artifact, nowMillis);
    }

    @Override
    public OptionalLong keepAliveMillis(ArtifactId artifact, long nowMillis) {
        return policyFor(artifact).keepAliveMillis(artifact, nowMillis);
    }

    @Override
    public OptionalLong keepAliveMillis(ArtifactId artifact, long sizeBytes, long nowMillis) {
        return policyFor(artifact).keepAliveMillis(artifact, sizeBytes, nowMillis);
    }

    @Override
    public double retentionValue(
            ArtifactId artifact, long lastUseMillis, long loadMillis, long sizeBytes, long nowMillis) {
        return policyFor(artifact).retentionValue(artifact, lastUseMillis, loadMillis, sizeBytes, nowMillis);
    }

    @Override
    public OptionalLong preloadAtMillis(ArtifactId artifact, long nowMillis) {
        return policyFor(artifact).preloadAtMillis(artifact, nowMillis);
    }
}
