package org.poplarwharf.internal.admission;

import org.poplarwharf.internal.kernel.Role;
import org.poplarwharf.plugins.Plugin;
import org.poplarwharf.plugins.PluginRegistry;

/** Registers the admission control role. Stateless and thread-safe. */
public final class AdmissionPlugin implements Plugin {
    @Override
    public void registerWith(PluginRegistry registry) {
        registry.register(Role.Factory.class, AdmissionRole.NAME, AdmissionRole::new);
    }
}
