package org.poplarwharf.internal.entry;

import org.poplarwharf.internal.kernel.Role;
import org.poplarwharf.plugins.Plugin;
import org.poplarwharf.plugins.PluginRegistry;

/**
 * Registers the role that serves callers' HTTP requests. Stateless and thread-safe.
 */
public final class EntryPlugin implements Plugin {
    @Override
    public void registerWith(PluginRegistry registry) {
        registry.register(Role.Factory.class, "entry", EntryRole::new);
    }
}
