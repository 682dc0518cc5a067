package org.poplarwharf.internal.peer;

/**
 * Collects the addresses of other nodes, which come from the settings, the platform's VM list, leases, and the hello
 * messages of peers.
 *
 * <p>Called on the control thread only.
 */
@FunctionalInterface
public interface PeerAddressRegistry {
    /** Adds an address; has no effect if it is already known or is this node's own. */
    void add(String peerAddress);
}
