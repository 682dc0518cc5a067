package org.poplarwharf.internal.idle;

import org.poplarwharf.plugins.IdlePolicy;
import org.poplarwharf.plugins.Plugin;
import org.poplarwharf.plugins.PluginRegistry;

/** Registers the built-in idle policies. Stateless and thread-safe. */
public final class IdlePlugin implements Plugin {
    @Override
    public void registerWith(PluginRegistry registry) {
        registry.register(IdlePolicy.Factory.class, "fixed", FixedIdlePolicy::new);
        registry.register(IdlePolicy.Factory.class, "expected-cost", ExpectedCostIdlePolicy::new);
        registry.register(IdlePolicy.Factory.class, "size-weighted", SizeWeightedIdlePolicy::new);
        registry.register(IdlePolicy.Factory.class, "expected-cost-by-size", ExpectedCostIdlePolicy::bySize);
    }
}
