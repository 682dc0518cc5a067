package org.poplarwharf.internal.standin;

import io.activej.http.AsyncServlet;
import io.activej.reactor.nio.NioReactor;

/**
 * A stand-in with an HTTP server for clients, an administration server, a journal of its events and configurable faults.
 *
 * <p>Invariant: the servers listen from the end of the subclass constructor until {@link #stop}. Confined to one reactor
 * thread.
 *
 * @param <E> the type of the journalled events
 * @param <F> the record type of the fault settings
 */
public abstract class HttpStandin<E, F> implements Standin {
    final NioReactor reactor;
    final Journal<E> journal;
    final ActiveFaults<F> faults;
    private StandinServers servers;

    HttpStandin(NioReactor reactor, Journal<E> journal, ActiveFaults<F> faults) {
        this.reactor = reactor;
        this.journal = journal;
        this.faults = faults;
    }

    /** Starts to listen. Must be the last step of a subclass constructor. */
    final void listen(StandinAddresses addresses, AsyncServlet servlet) {
        listen(
                addresses,
                servlet,
                StandinServers.adminServlet(reactor, journal, faults).build());
    }

    /** Starts to listen with a custom administration servlet. Must be the last step of a subclass constructor. */
    final void listen(StandinAddresses addresses, AsyncServlet servlet, AsyncServlet adminServlet) {
        servers = StandinServers.start(reactor, addresses, servlet, adminServlet);
    }

    /** Closes all client connections and refuses new ones; the administration server keeps running. */
    final void closeClientConnections() {
        servers.crash();
    }

    public Journal<E> journal() {
        return journal;
    }

    public ActiveFaults<F> faults() {
        return faults;
    }

    @Override
    public String address() {
        return servers.address();
    }

    @Override
    public String adminAddress() {
        return servers.adminAddress();
    }

    @Override
    public void stop() {
        servers.stop();
    }
}
