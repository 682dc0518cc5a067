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
 * Finds loopback addresses whose ports are free at the time of the call.
 */
public final class FreePorts {
    private static final int LOWEST_PORT = 12_000;
    /** The system assigns ports from here on to outgoing connections. */
    private static final int LOWEST_EPHEMERAL_PORT = 32_000;

    private FreePorts() {}

    /** Returns distinct addresses that no process listens on. */
    public static List<String> addresses(int count) {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            while (sockets.size() < count) {
                tryBind().ifPresent(sockets::add);
            }
            return sockets.stream()
                    .map(socket -> "127.0.0.1:" + socket.getLocalPort())
                    .toList();
        } finally {
            sockets.forEach(FreePorts::close);
        }
    }

    private static Optional<ServerSocket> tryBind() {
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
