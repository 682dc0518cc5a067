package org.poplarwharf.internal.peer;

/**
 * Where the addresses of other nodes are added, from the settings, the platform's list of VMs, leases, or hellos.
 *
 * <p>Called from the control thread only.
 */
@FunctionalInterface
public interface PeerAddressRegistry {
    /** Adds an address; one that is known already, or is this node's own, changes nothing. */
    void add(String peerAddress);
}
