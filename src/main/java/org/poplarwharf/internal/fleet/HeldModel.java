package org.poplarwharf.internal.fleet;

import java.util.Set;

/** A model that a target holds, with the names of its adapters there. Immutable and thread-safe. */
public record HeldModel(String name, Set<String> adapters) {}
