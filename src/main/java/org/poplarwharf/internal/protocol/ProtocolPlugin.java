package org.poplarwharf.internal.protocol;

import org.poplarwharf.plugins.EngineDialect;
import org.poplarwharf.plugins.EventLog;
import org.poplarwharf.plugins.Plugin;
import org.poplarwharf.plugins.PluginRegistry;
import org.poplarwharf.plugins.VmList;

/**
 * Registers the HTTP clients of the log and the VM list, and the engine dialect. Stateless and thread-safe.
 */
public final class ProtocolPlugin implements Plugin {
    private static final String PROTOCOL = "http";
    private static final String DIALECT = "openai";

    @Override
    public void registerWith(PluginRegistry registry) {
        registry.register(EventLog.Factory.class, PROTOCOL, HttpEventLog.factory());
        registry.register(VmList.Factory.class, PROTOCOL, HttpVmList.factory());
        registry.register(EngineDialect.Factory.class, DIALECT, HttpEngineDialect.factory());
    }
}
