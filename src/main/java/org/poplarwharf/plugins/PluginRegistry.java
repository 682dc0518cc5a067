package org.poplarwharf.plugins;

import java.util.Optional;
import java.util.SortedSet;

/**
 * Where plug-ins register, and where roles look implementations up by extension point and name.
 *
 * <p>Filled by one thread at start and read-only afterwards.
 */
public interface PluginRegistry {
    /** Registers an implementation; a second one under the same point and name is refused. */
    <T> void register(Class<T> extensionPoint, String name, T implementation);

    /** Returns the implementation under this name, or empty. */
    <T> Optional<T> find(Class<T> extensionPoint, String name);

    /** Returns the names known for an extension point, in order. */
    SortedSet<String> names(Class<?> extensionPoint);
}
