package org.poplarwharf.internal.kernel;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import org.poplarwharf.internal.failure.Reporter;

/**
 * Replaces ports of zero in a node's addresses by free ones, so that every role knows the addresses before any starts.
 *
 * <p>Another process can take such a port before the role binds it; the role then fails to start. Operators give fixed
 * ports. Used by one thread.
 */
final class FreePorts {
    private static final String ANY_PORT = ":0";
    private static final int ANY = 0;
    private static final int BACKLOG = 1;
    private static final int ATTEMPTS = 100;

    private final Set<Integer> taken = new HashSet<>();

    /** Returns the settings with a free port wherever they leave the choice. */
    NodeSettings choose(NodeSettings settings) {
        return settings.withAddresses(
                choose(settings.listenAddress()), choose(settings.peerAddress()), choose(settings.adminAddress()));
    }

    private String choose(String address) {
        if (!address.endsWith(ANY_PORT)) {
            return address;
        }
        String host = address.substring(0, address.length() - ANY_PORT.length());
        return host + ":" + freePort(host, address);
    }

    private int freePort(String host, String address) {
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            try (ServerSocket socket = new ServerSocket(ANY, BACKLOG, InetAddress.getByName(host))) {
                if (taken.add(socket.getLocalPort())) {
                    return socket.getLocalPort();
                }
            } catch (IOException e) {
                throw Reporter.addressUnusable(address, e);
            }
        }
        throw Reporter.addressUnusable(address, null);
    }
}
