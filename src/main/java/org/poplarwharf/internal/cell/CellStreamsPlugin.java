package org.poplarwharf.internal.cell;

import org.poplarwharf.internal.kernel.Role;
import org.poplarwharf.internal.log.StreamSettings;
import org.poplarwharf.plugins.Plugin;
import org.poplarwharf.plugins.PluginRegistry;

/** Registers the role that opens cells' streams on the platform's log. Stateless. */
public final class CellStreamsPlugin implements Plugin {
    @Override
    public void registerWith(PluginRegistry registry) {
        registry.register(
                Role.Factory.class,
                LogCellStreams.NAME,
                context -> new LogCellStreams(context, StreamSettings.DEFAULT));
    }
}
