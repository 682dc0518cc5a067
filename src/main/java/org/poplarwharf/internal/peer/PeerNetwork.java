package org.poplarwharf.internal.peer;

import java.util.List;

/**
 * The links to other nodes.
 *
 * <p>Called from the control thread only. Messages to one address arrive in order or not at all; a lost link is told to
 * the listener, and nothing is sent twice.
 */
public interface PeerNetwork {
    /** Sends a message; returns false at once when there is no live link (one is then being opened). */
    boolean send(String peerAddress, PeerMessage message);

    /** Returns the addresses with a live link. */
    List<String> connectedAddresses();

    /** Registers a receiver for all messages and link changes. */
    void addListener(Listener listener);

    /** Hears of messages and links. {@code peerAddress} is the address that the peer announced in its hello. */
    interface Listener {
        default void onMessage(String peerAddress, PeerMessage message) {}

        default void onConnected(String peerAddress, PeerMessage.Hello hello) {}

        default void onDisconnected(String peerAddress) {}
    }
}
