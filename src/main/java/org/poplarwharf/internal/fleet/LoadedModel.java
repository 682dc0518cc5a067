package org.poplarwharf.internal.fleet;

import java.util.Set;

/**
 * A model that is loaded on a target, with the names of its adapters that are loaded there. Immutable and thread-safe.
 */
public record LoadedModel(String name, Set<String> adapters) {}
