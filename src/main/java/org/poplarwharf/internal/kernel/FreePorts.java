package org.poplarwharf.internal.kernel;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.poplarwharf.internal.failure.Reporter;

/**
 * Replaces ports of zero in a node's addresses by free ones, so that every role knows the addresses before any starts.
 *
 * <p>Invariant: a chosen port stays bound until {@link #close}, by a socket that does not listen, so that the system
 * gives it to no other process and the node's own servers can listen there. Used by one thread.
 */
final class FreePorts implements AutoCloseable {
    private static final String ANY_PORT = ":0";
    private static final int ANY = 0;

    private final List<Socket> reservations = new ArrayList<>();

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
        return host + ":" + reserve(host, address);
    }

    private int reserve(String host, String address) {
        Socket reservation = new Socket();
        reservations.add(reservation);
        try {
            reservation.setReuseAddress(true);
            reservation.bind(new InetSocketAddress(host, ANY));
            return reservation.getLocalPort();
        } catch (IOException e) {
            close();
            throw Reporter.addressUnusable(address, e);
        }
    }

    /** Gives the reservations up; what listens by now goes on. */
    @Override
    public void close() {
        for (Socket reservation : reservations) {
            try {
                reservation.close();
            } catch (IOException e) {
                throw Reporter.internal("Closing a port's reservation", e);
            }
        }
        reservations.clear();
    }
}
