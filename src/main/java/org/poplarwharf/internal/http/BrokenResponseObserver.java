package org.poplarwharf.internal.http;

import java.net.SocketAddress;

/** Learns which peers send bytes that are no response. Called on the event loop of the connection. */
public interface BrokenResponseObserver {
    /** Called once for a connection, whatever the response was for. */
    void onBrokenResponse(SocketAddress peer, String reason);
}
