package org.poplarwharf.internal.peer;

import java.util.Optional;

/**
 * Identifies a node to its peers. A port of zero in {@code peerAddress} is replaced by the port that the operating
 * system assigns. Immutable and thread-safe.
 *
 * @param peerAddress the address on which the node listens
 * @param advertisedAddress the address to which peers connect, if it differs from {@code peerAddress}
 */
public record PeerIdentity(
        String nodeId, long incarnation, String zone, String peerAddress, Optional<String> advertisedAddress) {
    /** Creates the identity of a node whose peers connect to the address on which it listens. */
    public PeerIdentity(String nodeId, long incarnation, String zone, String peerAddress) {
        this(nodeId, incarnation, zone, peerAddress, Optional.empty());
    }
}
