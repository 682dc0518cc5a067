package org.poplarwharf.internal.peer;

import java.net.InetSocketAddress;
import org.poplarwharf.FailureCode;
import org.poplarwharf.internal.failure.Reporter;

/**
 * Reads and writes {@code host:port} addresses. Stateless and thread-safe.
 */
public final class PeerAddress {
    private static final int MAX_PORT = 65_535;

    private PeerAddress() {}

    /** Tells whether a text is a host and a port. */
    public static boolean isValid(String address) {
        int colon = address == null ? -1 : address.lastIndexOf(':');
        if (colon < 1) {
            return false;
        }
        try {
            int port = Integer.parseInt(address, colon + 1, address.length(), 10);
            return port >= 0 && port <= MAX_PORT;
        } catch (NumberFormatException e) {
            return false;
        }
    }

    /** Returns the socket address that a text names. */
    public static InetSocketAddress parse(String address) {
        if (!isValid(address)) {
            throw Reporter.failure(
                    FailureCode.SETTINGS_INVALID,
                    "The address " + address + " is not a host and a port.",
                    "It was mistyped, or a part is missing.",
                    "Write it as 10.0.0.1:7000.",
                    null);
        }
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(
                address.substring(0, colon).replace("[", "").replace("]", ""),
                Integer.parseInt(address.substring(colon + 1)));
    }

    /** Returns the text of a host with another port. */
    public static String format(InetSocketAddress address, int port) {
        String host = address.getHostString();
        return (host.contains(":") ? "[" + host + "]" : host) + ":" + port;
    }
}
