package org.poplarwharf.plugins;

/**
 * Registers implementations of extension points when a node starts.
 *
 * <p>Plug-ins are found through {@link java.util.ServiceLoader}: list the class in
 * {@code META-INF/services/org.poplarwharf.plugins.Plugin}.
 *
 * <pre>{@code
 * public final class MyPlugin implements Plugin {
 *     public void registerWith(PluginRegistry registry) {
 *         registry.register(ReplicaSelector.class, "round-robin", new RoundRobinSelector());
 *     }
 * }
 * }</pre>
 */
public interface Plugin {
    /** Registers the implementations of this plug-in. Called once, before any role starts. */
    void registerWith(PluginRegistry registry);
}
