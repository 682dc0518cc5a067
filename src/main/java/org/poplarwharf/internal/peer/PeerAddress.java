package org.poplarwharf.internal.peer;

import java.net.InetSocketAddress;
import org.poplarwharf.FailureCode;
import org.poplarwharf.internal.failure.Reporter;

/**
 * Parses and formats {@code host:port} addresses. Stateless and thread-safe.
 */
public final class PeerAddress {
    private static final int MAX_PORT = 65_535;

    private PeerAddress() {}

    /** Returns whether a text is a valid {@code host:port} address. */
    public static boolean isValid(String address) {
        int colonIndex = address == null ? -1 : address.lastIndexOf(':');
        if (colonIndex < 1) {
            return false;
        }
        try {
            int port = Integer.parseInt(address, colonIndex + 1, address.length(), 10);
            return port >= 0 && port <= MAX_PORT;
        } catch (NumberFormatException e) {
            return false;
        }
    }

    /** Parses a {@code host:port} address; throws {@code settings-invalid} if it is malformed. */
    public static InetSocketAddress parse(String address) {
        if (!isValid(address)) {
            throw Reporter.failure(
                    FailureCode.SETTINGS_INVALID,
                    "The address " + address + " is not of the form host:port.",
                    "The host or the port is missing, or the port is not a number from 0 to 65535.",
                    "Set an address such as 10.0.0.1:7000.",
                    null);
        }
        int colonIndex = address.lastIndexOf(':');
        return new InetSocketAddress(
                address.substring(0, colonIndex).replace("[", "").replace("]", ""),
                Integer.parseInt(address.substring(colonIndex + 1)));
    }

    /** Formats the host of an address with another port. */
    public static String format(InetSocketAddress address, int port) {
        String host = address.getHostString();
        return (host.contains(":") ? "[" + host + "]" : host) + ":" + port;
    }
}
