package org.poplarwharf.internal.platform;

import java.net.InetSocketAddress;
import java.util.Optional;

/** Reads addresses of the form {@code IP:PORT}. Stateless and thread-safe. */
public final class HostPort {
    private static final int HIGHEST_PORT = 65_535;

    private HostPort() {}

    /** Returns the address; empty where the text is none. Never asks a name service. */
    public static Optional<InetSocketAddress> parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0 || !text.substring(0, colon).matches("[0-9.]{7,15}|[0-9a-fA-F:]{2,39}")) {
            return Optional.empty();
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (port < 1 || port > HIGHEST_PORT) {
                return Optional.empty();
            }
            return Optional.of(new InetSocketAddress(text.substring(0, colon), port));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    /** Returns the form that {@link #parse} reads. */
    public static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
