package org.poplarwharf.internal.stream;

import java.util.Optional;

/**
 * What a request continues: a stream that another request, or an earlier attempt of the same one, has begun. Immutable and
 * thread-safe.
 *
 * @param softwareVersion the only software version that may continue it; empty if that is not known yet
 */
public record StreamContinuation(String streamId, Optional<String> softwareVersion) {}
