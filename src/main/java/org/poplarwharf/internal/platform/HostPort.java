package org.poplarwharf.internal.platform;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.OptionalLong;
import org.poplarwharf.internal.gateway.DecimalParser;

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
        OptionalLong port = DecimalParser.parse(text.substring(colon + 1));
        byte[] address = NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        if (address == null || port.isEmpty() || port.getAsLong() < 1 || port.getAsLong() > MAX_PORT) {
            return Optional.empty();
        }
        try {
            return Optional.of(new InetSocketAddress(InetAddress.getByAddress(address), (int) port.getAsLong()));
        } catch (UnknownHostException e) {
            throw new IllegalStateException("an address of " + address.length + " bytes", e);
        }
    }

    /** Formats an address in the form that {@link #parse} accepts. */
    public static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
