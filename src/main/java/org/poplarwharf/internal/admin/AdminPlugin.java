package org.poplarwharf.internal.admin;

import org.poplarwharf.internal.kernel.Role;
import org.poplarwharf.plugins.Plugin;
import org.poplarwharf.plugins.PluginRegistry;

/** Registers the administration API. Stateless and thread-safe. */
public final class AdminPlugin implements Plugin {
    @Override
    public void registerWith(PluginRegistry registry) {
        registry.register(Role.Factory.class, AdminRole.NAME, AdminRole::new);
    }
}
