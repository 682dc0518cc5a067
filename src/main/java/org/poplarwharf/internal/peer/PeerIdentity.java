package org.poplarwharf.internal.peer;

import java.util.Optional;

/**
 * What a node says of itself to others; a port of zero is replaced by the one that the system chose. Immutable and
 * thread-safe.
 *
 * @param peerAddress where the node listens
 * @param advertisedAddress where others are told to connect, when that differs
 */
public record PeerIdentity(
        String nodeId, long incarnation, String zone, String peerAddress, Optional<String> advertisedAddress) {
    /** Creates the identity of a node that is reached where it listens. */
    public PeerIdentity(String nodeId, long incarnation, String zone, String peerAddress) {
        this(nodeId, incarnation, zone, peerAddress, Optional.empty());
    }
}
