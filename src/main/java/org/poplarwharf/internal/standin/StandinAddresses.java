package org.poplarwharf.internal.standin;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.failure.Reporter;

/**
 * Where a stand-in listens and keeps its journal. Immutable and thread-safe.
 *
 * @param journal file for the journal, empty to keep it in memory only
 */
public record StandinAddresses(InetSocketAddress listen, InetSocketAddress admin, Optional<Path> journal) {
    private static final int MAX_PORT = 65_535;

    /** Returns loopback addresses whose ports the system chooses. */
    public static StandinAddresses loopback() {
        return new StandinAddresses(parse("127.0.0.1:0"), parse("127.0.0.1:0"), Optional.empty());
    }

    /** Returns the address that a text of the form {@code host:port} names. */
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
        return Reporter.settingsInvalid(List.of("'" + text + "' is not an address; write host:port."));
    }
}
