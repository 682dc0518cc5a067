package org.poplarwharf.internal.kernel;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.poplarwharf.internal.failure.Reporter;

/**
 * Replaces port 0 in a node's addresses with a free port, so that all addresses are known before any role starts.
 *
 * <p>Invariant: a reserved port stays bound until {@link #close} by a socket that does not listen. This keeps the
 * operating system from giving the port to another process, while the node's own servers can listen on it. Not
 * thread-safe.
 */
final class PortReservations implements AutoCloseable {
    private static final String UNASSIGNED_PORT_SUFFIX = ":0";
    private static final int EPHEMERAL_PORT = 0;

    private final List<Socket> reservations = new ArrayList<>();

    /** Returns the settings with a reserved free port in each address whose port is 0. */
    NodeSettings assignPorts(NodeSettings settings) {
        return settings.withAddresses(
                assignPort(settings.listenAddress()),
                assignPort(settings.peerAddress()),
                assignPort(settings.adminAddress()));
    }

    private String assignPort(String address) {
        if (!address.endsWith(UNASSIGNED_PORT_SUFFIX)) {
            return address;
        }
        String host = address.substring(0, address.length() - UNASSIGNED_PORT_SUFFIX.length());
        return host + ":" + reserve(host, address);
    }

    private int reserve(String host, String address) {
        Socket reservation = new Socket();
        reservations.add(reservation);
        try {
            reservation.setReuseAddress(true);
            reservation.bind(new InetSocketAddress(host, EPHEMERAL_PORT));
            return reservation.getLocalPort();
        } catch (IOException e) {
            close();
            throw Reporter.addressUnusable(address, e);
        }
    }

    /** Closes the reserving sockets. Servers that already listen on the ports are not affected. */
    @Override
    public void close() {
        for (Socket reservation : reservations) {
            try {
                reservation.close();
            } catch (IOException e) {
                throw Reporter.internal("Closing the socket that reserves a port", e);
            }
        }
        reservations.clear();
    }
}
