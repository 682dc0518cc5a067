package org.poplarwharf.internal.place;

import org.poplarwharf.internal.kernel.Role;
import org.poplarwharf.plugins.Plugin;
import org.poplarwharf.plugins.PluginRegistry;

/**
 * Registers the role that acquires permits for requests. Stateless and thread-safe.
 */
public final class AdmissionClientPlugin implements Plugin {
    @Override
    public void registerWith(PluginRegistry registry) {
        registry.register(Role.Factory.class, "places", AdmissionClientRole::new);
    }
}
