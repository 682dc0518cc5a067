package org.poplarwharf.internal.config;

import java.util.List;
import java.util.function.Consumer;

/**
 * Provides the current configuration of this node.
 *
 * <p>Called on the control thread only. Invariant: the version never decreases.
 */
public interface ConfigView {
    /** Returns the current configuration, or {@link FleetConfig#EMPTY} if none is known yet. */
    FleetConfig current();

    /** Returns whether this node has a configuration at least as new as that of every reachable peer. */
    boolean isReady();

    /** Returns the configuration version of each connected peer, sorted by address. */
    default List<PeerVersion> peerVersions() {
        return List.of();
    }

    /**
     * The configuration version of a peer.
     *
     * @param version the current version of the peer, or -1 if it has not announced one
     */
    record PeerVersion(String peerAddress, long version) {}

    /** Registers a listener that is called immediately with the current configuration, then with each newer one. */
    void onChange(Consumer<FleetConfig> listener);
}
