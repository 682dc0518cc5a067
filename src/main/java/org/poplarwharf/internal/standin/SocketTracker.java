package org.poplarwharf.internal.standin;

import io.activej.net.socket.tcp.TcpSocket;
import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Tracks the open sockets of a server so that they can all be closed at once. Confined to one reactor thread.
 */
final class SocketTracker extends TcpSocket.JmxInspector {
    private final Set<TcpSocket> openSockets = new HashSet<>();

    @Override
    public void onConnect(TcpSocket socket) {
        openSockets.add(socket);
        super.onConnect(socket);
    }

    @Override
    public void onDisconnect(TcpSocket socket) {
        openSockets.remove(socket);
        super.onDisconnect(socket);
    }

    void closeAll() {
        List<TcpSocket> sockets = List.copyOf(openSockets);
        openSockets.clear();
        sockets.forEach(socket -> socket.closeEx(new IOException("connection closed by an injected fault")));
    }
}
