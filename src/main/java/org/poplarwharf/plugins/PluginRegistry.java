package org.poplarwharf.plugins;

import java.util.Optional;
import java.util.SortedSet;

/**
 * Holds the implementations that plug-ins register, by extension point and name.
 *
 * <p>Filled by one thread when a node starts, and read-only afterwards.
 */
public interface PluginRegistry {
    /** Registers an implementation; fails if the extension point already has one with this name. */
    <T> void register(Class<T> extensionPoint, String name, T implementation);

    /** Returns the implementation with this name, or empty if there is none. */
    <T> Optional<T> find(Class<T> extensionPoint, String name);

    /** Returns the names that are registered for an extension point. */
    SortedSet<String> names(Class<?> extensionPoint);
}
