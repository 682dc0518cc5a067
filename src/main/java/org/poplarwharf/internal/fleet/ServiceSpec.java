package org.poplarwharf.internal.fleet;

import java.util.Optional;

/** A service that routes send to; those with an engine serve models. Immutable and thread-safe. */
public record ServiceSpec(String name, Optional<EngineSpec> engine) {}
