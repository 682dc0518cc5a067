package org.poplarwharf.internal.stream;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * The software version of the target that sent the first event of a stream. Immutable and thread-safe.
 *
 * @param streamId id of the request that brought the first event
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record StreamOrigin(String streamId, String service, String softwareVersion) {}
