package org.poplarwharf.internal.config;

import org.poplarwharf.internal.kernel.NodeContext;
import org.poplarwharf.internal.kernel.Role;
import org.poplarwharf.internal.log.StreamSettings;
import org.poplarwharf.plugins.Plugin;
import org.poplarwharf.plugins.PluginRegistry;

/** Registers the role that reads the configuration stream. Stateless and thread-safe. */
public final class ConfigPlugin implements Plugin {
    @Override
    public void registerWith(PluginRegistry registry) {
        registry.register(
                Role.Factory.class, ConfigRole.NAME, context -> new ConfigRole(context, streamSettings(context)));
    }

    private static StreamSettings streamSettings(NodeContext context) {
        return StreamSettings.DEFAULT.withRetentionMillis(context.settings().logRetentionMillis());
    }
}
