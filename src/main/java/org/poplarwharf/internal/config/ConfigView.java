package org.poplarwharf.internal.config;

import java.util.List;
import java.util.function.Consumer;

/**
 * The configuration in force on this node.
 *
 * <p>Called from the control thread only. Invariant: the version never goes down.
 */
public interface ConfigView {
    /** Returns the configuration in force; {@link FleetConfig#EMPTY} before any is known. */
    FleetConfig current();

    /** Tells whether this node knows a configuration at least as new as any peer that it can reach. */
    boolean ready();

    /** Returns the version in force at each node with a live link, in order of their addresses. */
    default List<PeerVersion> peerVersions() {
        return List.of();
    }

    /**
     * What a peer has told.
     *
     * @param version its configuration in force, -1 while it has told none
     */
    record PeerVersion(String peerAddress, long version) {}

    /** Calls the listener with each newer configuration, and once at registration. */
    void onChange(Consumer<FleetConfig> listener);
}
