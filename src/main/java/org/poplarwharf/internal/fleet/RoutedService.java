package org.poplarwharf.internal.fleet;

import java.util.Optional;

/** A service that routes send requests to. Services with an engine serve models. Immutable and thread-safe. */
public record RoutedService(String name, Optional<EngineSpec> engine) {}
