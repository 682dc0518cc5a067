package org.poplarwharf.internal.kernel;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.ServiceLoader;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.plugins.Plugin;
import org.poplarwharf.plugins.PluginRegistry;

/**
 * A registry of the implementations that plug-ins provide; {@link #load} finds each {@link Plugin} on the class path.
 *
 * <p>Invariant: a name is unique within an extension point. Filled by one thread, and thread-safe once it is read-only.
 */
public final class ServiceLoaderRegistry implements PluginRegistry {
    private final Map<Class<?>, TreeMap<String, Object>> implementations = new HashMap<>();

    /** Returns a registry with the implementations of all plug-ins on the class path. */
    public static ServiceLoaderRegistry load() {
        ServiceLoaderRegistry registry = new ServiceLoaderRegistry();
        for (Plugin plugin : ServiceLoader.load(Plugin.class)) {
            plugin.registerWith(registry);
        }
        return registry;
    }

    @Override
    public <T> void register(Class<T> extensionPoint, String name, T implementation) {
        Object existing = implementations
                .computeIfAbsent(extensionPoint, point -> new TreeMap<>())
                .putIfAbsent(name, implementation);
        if (existing != null) {
            throw Reporter.duplicatePlugin(extensionPoint.getName(), name);
        }
    }

    @Override
    public <T> Optional<T> find(Class<T> extensionPoint, String name) {
        Map<String, Object> named = implementations.getOrDefault(extensionPoint, new TreeMap<>());
        return Optional.ofNullable(named.get(name)).map(extensionPoint::cast);
    }

    @Override
    public SortedSet<String> names(Class<?> extensionPoint) {
        Map<String, Object> named = implementations.getOrDefault(extensionPoint, new TreeMap<>());
        return Collections.unmodifiableSortedSet(new TreeSet<>(named.keySet()));
    }
}
