package org.poplarwharf.internal.claim;

import org.poplarwharf.internal.kernel.Role;
import org.poplarwharf.plugins.Plugin;
import org.poplarwharf.plugins.PluginRegistry;

/** Registers the role that runs at-most-once calls. Stateless and thread-safe. */
public final class ClaimPlugin implements Plugin {
    @Override
    public void registerWith(PluginRegistry registry) {
        registry.register(Role.Factory.class, "claims", ClaimRole::new);
    }
}
