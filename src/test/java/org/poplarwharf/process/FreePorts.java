package org.poplarwharf.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Loopback addresses that were free when asked for.
 */
public final class FreePorts {
    private static final int LOWEST_PORT = 12_000;
    /** From here on the system takes ports for outgoing connections. */
    private static final int LOWEST_EPHEMERAL_PORT = 32_000;

    private FreePorts() {}

    /** Returns distinct addresses. */
    public static List<String> addresses(int count) {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            while (sockets.size() < count) {
                bindOne().ifPresent(sockets::add);
            }
            return sockets.stream()
                    .map(socket -> "127.0.0.1:" + socket.getLocalPort())
                    .toList();
        } finally {
            sockets.forEach(FreePorts::close);
        }
    }

    private static Optional<ServerSocket> bindOne() {
        int port = ThreadLocalRandom.current().nextInt(LOWEST_PORT, LOWEST_EPHEMERAL_PORT);
        try {
            return Optional.of(new ServerSocket(port, 1, InetAddress.getLoopbackAddress()));
        } catch (IOException e) {
            return Optional.empty();
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
