package org.poplarwharf.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Loopback addresses that were free when asked for.
 */
final class FreePorts {
    private FreePorts() {}

    /** Returns distinct addresses. */
    static List<String> addresses(int count) {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
            }
            return sockets.stream()
                    .map(socket -> "127.0.0.1:" + socket.getLocalPort())
                    .toList();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } finally {
            sockets.forEach(FreePorts::close);
        }
    }

    private static void close(ServerSocket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
