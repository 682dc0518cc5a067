package org.poplarwharf.internal.peer;

import java.util.List;

/**
 * Sends messages to other nodes and receives their messages.
 *
 * <p>Called on the control thread only. Messages to one address arrive in order or not at all, and none is sent
 * twice. Listeners are notified when a connection is lost.
 */
public interface PeerNetwork {
    /** Sends a message. If there is no established connection, starts opening one and returns false without sending. */
    boolean send(String peerAddress, PeerMessage message);

    /** Returns the addresses with an established connection. */
    List<String> connectedAddresses();

    /** Adds a listener for all messages and connection changes. */
    void addListener(Listener listener);

    /**
     * Receives messages and connection changes. {@code peerAddress} is the address that the peer advertised in its
     * hello message.
     */
    interface Listener {
        default void onMessage(String peerAddress, PeerMessage message) {}

        default void onConnected(String peerAddress, PeerMessage.Hello hello) {}

        default void onDisconnected(String peerAddress) {}
    }
}
