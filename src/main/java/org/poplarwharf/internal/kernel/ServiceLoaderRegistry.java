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
 * The registry that every {@link Plugin} on the class path fills.
 *
 * <p>Invariant: a name stands once under an extension point. Filled by one thread, then read-only and thread-safe.
 */
public final class ServiceLoaderRegistry implements PluginRegistry {
    private final Map<Class<?>, TreeMap<String, Object>> implementations = new HashMap<>();

    /** Returns a registry filled by all plug-ins that the class path holds. */
    public static ServiceLoaderRegistry load() {
        ServiceLoaderRegistry registry = new ServiceLoaderRegistry();
        for (Plugin plugin : ServiceLoader.load(Plugin.class)) {
            plugin.registerWith(registry);
        }
        return registry;
    }

    @Override
    public <T> void register(Class<T> extensionPoint, String name, T implementation) {
        Object present = implementations
                .computeIfAbsent(extensionPoint, point -> new TreeMap<>())
                .putIfAbsent(name, implementation);
        if (present != null) {
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
