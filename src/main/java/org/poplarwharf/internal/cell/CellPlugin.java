package org.poplarwharf.internal.cell;

import org.poplarwharf.internal.kernel.Role;
import org.poplarwharf.plugins.Plugin;
import org.poplarwharf.plugins.PluginRegistry;

/** Registers the role that follows cells and holds their leases. Stateless and thread-safe. */
public final class CellPlugin implements Plugin {
    @Override
    public void registerWith(PluginRegistry registry) {
        registry.register(Role.Factory.class, CellRole.NAME, CellRole::new);
    }
}
