package org.poplarwharf.internal.gateway;

import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What a node tells a target of a request. Immutable and thread-safe.
 *
 * @param targetId the only target that may run it
 * @param lastEventId the event behind which a stream goes on
 * @param rank its rank among requests; zero comes first
 */
public record ForwardingTraits(String targetId, long millisLeft, OptionalLong lastEventId, OptionalInt rank) {}
