package org.poplarwharf.internal.standin;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.failure.Reporter;

/**
 * The listening addresses and journal file of a stand-in. Immutable and thread-safe.
 *
 * @param listen address for clients
 * @param admin address of the administration server
 * @param journal the journal file, or empty to keep the journal in memory only
 */
public record StandinAddresses(InetSocketAddress listen, InetSocketAddress admin, Optional<Path> journal) {
    private static final int MAX_PORT = 65_535;

    /** Returns loopback addresses with free ports that the system chooses, and no journal file. */
    public static StandinAddresses loopback() {
        return new StandinAddresses(parse("127.0.0.1:0"), parse("127.0.0.1:0"), Optional.empty());
    }

    /**
     * Parses an address of the form {@code host:port}.
     *
     * @throws PoplarWharfException if the text has no host or no valid port
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw invalid(text);
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (port < 0 || port > MAX_PORT) {
                throw invalid(text);
            }
            return new InetSocketAddress(text.substring(0, colon), port);
        } catch (NumberFormatException e) {
            throw invalid(text);
        }
    }

    private static PoplarWharfException invalid(String text) {
        return Reporter.settingsInvalid(List.of("'" + text + "' is not a valid address; use the form host:port."));
    }
}
