package org.poplarwharf.internal.peer;

import org.poplarwharf.internal.kernel.Role;
import org.poplarwharf.plugins.Plugin;
import org.poplarwharf.plugins.PluginRegistry;

/**
 * Registers the role that maintains the connections to other nodes. Stateless and thread-safe.
 */
public final class PeerPlugin implements Plugin {
    @Override
    public void registerWith(PluginRegistry registry) {
        registry.register(Role.Factory.class, "peers", PeerRole::new);
    }
}
