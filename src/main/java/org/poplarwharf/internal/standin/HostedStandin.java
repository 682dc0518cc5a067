package org.poplarwharf.internal.standin;

import io.activej.http.AsyncServlet;
import io.activej.reactor.nio.NioReactor;

/**
 * A stand-in with one HTTP server for its clients, a journal of what it did and faults that can be set.
 *
 * <p>Invariant: it listens from the end of its constructor until it is stopped. Belongs to one reactor thread.
 *
 * @param <E> what the journal keeps
 * @param <F> the faults
 */
public abstract class HostedStandin<E, F> implements Standin {
    final NioReactor reactor;
    final Journal<E> journal;
    final Faults<F> faults;
    private StandinHost host;

    HostedStandin(NioReactor reactor, Journal<E> journal, Faults<F> faults) {
        this.reactor = reactor;
        this.journal = journal;
        this.faults = faults;
    }

    /** Begins to listen; the last step of a constructor. */
    final void listen(StandinAddresses addresses, AsyncServlet servlet) {
        listen(
                addresses,
                servlet,
                StandinHost.adminServlet(reactor, journal, faults).build());
    }

    /** Begins to listen with further administration paths; the last step of a constructor. */
    final void listen(StandinAddresses addresses, AsyncServlet servlet, AsyncServlet adminServlet) {
        host = StandinHost.start(reactor, addresses, servlet, adminServlet);
    }

    /** Closes every client's connection and refuses new ones; the administration goes on. */
    final void closeClients() {
        host.crash();
    }

    public Journal<E> journal() {
        return journal;
    }

    public Faults<F> faults() {
        return faults;
    }

    @Override
    public String address() {
        return host.address();
    }

    @Override
    public String adminAddress() {
        return host.adminAddress();
    }

    @Override
    public void stop() {
        host.stop();
    }
}
