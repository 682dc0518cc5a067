package org.poplarwharf.internal.gateway;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What a node tells a target of a request. Immutable and thread-safe.
 *
 * @param targetId the only target that may run it
 * @param lastEventId the event behind which a stream goes on
 * @param backup where the target sends the run's memory as it grows
 * @param copyAt the target that keeps such a copy, which the run goes on from
 * @param rank its rank among requests; zero comes first
 */
public record ForwardingTraits(
        String targetId,
        long millisLeft,
        OptionalLong lastEventId,
        Optional<InetSocketAddress> backup,
        Optional<InetSocketAddress> copyAt,
        OptionalInt rank) {}
