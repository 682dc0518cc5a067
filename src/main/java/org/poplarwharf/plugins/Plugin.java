package org.poplarwharf.plugins;

/**
 * A plug-in that registers its implementations of extension points with the kernel at start.
 *
 * <p>Found through {@link java.util.ServiceLoader}: name the class in
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
    /** Registers everything this plug-in brings. Called once, before any role starts. */
    void registerWith(PluginRegistry registry);
}
