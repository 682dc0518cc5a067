package org.poplarwharf.internal.gateway;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Metadata that a node sends to a target along with a request. Immutable and thread-safe.
 *
 * @param targetId the only target that may run the request
 * @param lastEventId the id of the event after which the stream resumes
 * @param backupAddress the address that the target copies the state of the run to as it grows
 * @param resumeAddress the address of the target that has such a copy, from which the run resumes
 * @param priority the priority of the request; zero is the highest
 * @param caller whose request it is; the target gets the name of the account and never a key
 */
public record ForwardingTraits(
        String targetId,
        long millisLeft,
        OptionalLong lastEventId,
        Optional<InetSocketAddress> backupAddress,
        Optional<InetSocketAddress> resumeAddress,
        OptionalInt priority,
        CallerIdentity caller) {}
