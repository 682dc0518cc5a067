package org.poplarwharf.internal.standin;

import io.activej.net.socket.tcp.TcpSocket;
import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Knows the open sockets of a server, so that all can be closed at once. Belongs to one reactor thread.
 */
final class SocketTracker extends TcpSocket.JmxInspector {
    private final Set<TcpSocket> open = new HashSet<>();

    @Override
    public void onConnect(TcpSocket socket) {
        open.add(socket);
        super.onConnect(socket);
    }

    @Override
    public void onDisconnect(TcpSocket socket) {
        open.remove(socket);
        super.onDisconnect(socket);
    }

    void closeAll() {
        List<TcpSocket> sockets = List.copyOf(open);
        open.clear();
        sockets.forEach(socket -> socket.closeEx(new IOException("closed by a fault")));
    }
}
