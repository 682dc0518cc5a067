package org.poplarwharf.internal.platform;

import java.net.InetSocketAddress;
import java.util.Optional;

/** Parses and formats addresses of the form {@code IP:PORT}. Stateless and thread-safe. */
public final class HostPort {
    private static final int MAX_PORT = 65_535;

    private HostPort() {}

    /** Parses an address; the result is empty if the text is not an IP address and port. Does no DNS lookup. */
    public static Optional<InetSocketAddress> parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0 || !text.substring(0, colon).matches("[0-9.]{7,15}|[0-9a-fA-F:]{2,39}")) {
            return Optional.empty();
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (port < 1 || port > MAX_PORT) {
                return Optional.empty();
            }
            return Optional.of(new InetSocketAddress(text.substring(0, colon), port));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    /** Formats an address in the form that {@link #parse} accepts. */
    public static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
