package org.poplarwharf.internal.routing;

import org.poplarwharf.plugins.Plugin;
import org.poplarwharf.plugins.PluginRegistry;
import org.poplarwharf.plugins.ReplicaSelector;

/** Registers the built-in routing policies. Stateless and thread-safe. */
public final class RoutingPlugin implements Plugin {
    @Override
    public void registerWith(PluginRegistry registry) {
        registry.register(ReplicaSelector.Factory.class, "least-loaded", seed -> new LeastLoadedSelector());
        registry.register(ReplicaSelector.Factory.class, "round-robin", seed -> new RoundRobinSelector());
        registry.register(ReplicaSelector.Factory.class, "two-choices", TwoChoicesSelector::new);
        registry.register(ReplicaSelector.Factory.class, "shortest-latency", seed -> new ShortestLatencySelector());
    }
}
