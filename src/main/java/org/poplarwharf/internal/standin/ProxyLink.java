package org.poplarwharf.internal.standin;

import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.poplarwharf.internal.failure.Reporter;

/**
 * One link of the proxy: a listening address, its upstream and the connections between them.
 *
 * <p>Invariant: the address stays the same while the link refuses connections. Belongs to one reactor thread.
 */
final class ProxyLink {
    private final NioReactor reactor;
    private final String name;
    private final InetSocketAddress upstream;
    private final Journal<ProxyEvent> journal;
    private final Set<ProxyConnection> connections = new LinkedHashSet<>();
    private final InetSocketAddress address;
    private SimpleServer server;
    private LinkFaults faults = LinkFaults.pass();
    private long accepted;
    private boolean listening;

    ProxyLink(NioReactor reactor, ProxyStandin.Link link, Journal<ProxyEvent> journal) {
        this.reactor = reactor;
        this.name = link.name();
        this.upstream = StandinAddresses.parse(link.upstream());
        this.journal = journal;
        listen(StandinAddresses.parse(link.listen()));
        this.address = server.getBoundAddresses().getFirst();
    }

    String name() {
        return name;
    }

    String address() {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    LinkFaults faults() {
        return faults;
    }

    int openConnections() {
        return connections.size();
    }

    void set(LinkFaults newFaults) {
        faults = newFaults;
        journal.add(new ProxyEvent(name, ProxyEvent.Kind.FAULTS_SET, 0));
        if (faults.refuse()) {
            stopListening();
        } else if (!listening) {
            listen(address);
        }
        List.copyOf(connections).forEach(ProxyConnection::faultsChanged);
    }

    void reset() {
        journal.add(new ProxyEvent(name, ProxyEvent.Kind.RESET, 0));
        List.copyOf(connections).forEach(ProxyConnection::reset);
    }

    void silence() {
        journal.add(new ProxyEvent(name, ProxyEvent.Kind.SILENCED, 0));
        connections.forEach(ProxyConnection::silence);
    }

    void freeze(boolean on) {
        journal.add(new ProxyEvent(name, on ? ProxyEvent.Kind.FROZEN : ProxyEvent.Kind.THAWED, 0));
        List.copyOf(connections).forEach(connection -> connection.freeze(on));
    }

    void stop() {
        stopListening();
        List.copyOf(connections).forEach(ProxyConnection::reset);
    }

    private void stopListening() {
        if (listening) {
            listening = false;
            server.close();
        }
    }

    private void listen(InetSocketAddress listenAddress) {
        server = SimpleServer.builder(reactor, socket -> accept((TcpSocket) socket))
                .withListenAddress(listenAddress)
                .build();
        try {
            server.listen();
            listening = true;
        } catch (IOException e) {
            throw Reporter.addressUnusable(listenAddress.toString(), e);
        }
    }

    private void accept(TcpSocket client) {
        long number = ++accepted;
        TcpSocket.connect(reactor, upstream, 0, SocketSettings.defaultInstance())
                .whenResult(socket -> open(number, client, socket))
                .whenException(failure -> {
                    journal.add(new ProxyEvent(name, ProxyEvent.Kind.UPSTREAM_REFUSED, number));
                    ProxyConnection.abort(client);
                });
    }

    private void open(long number, TcpSocket client, TcpSocket upstreamSocket) {
        journal.add(new ProxyEvent(name, ProxyEvent.Kind.OPENED, number));
        ProxyConnection connection =
                new ProxyConnection(reactor, client, upstreamSocket, this::faults, closed -> closed(number, closed));
        connections.add(connection);
        connection.start();
    }

    private void closed(long number, ProxyConnection connection) {
        connections.remove(connection);
        journal.add(new ProxyEvent(name, ProxyEvent.Kind.CLOSED, number));
    }
}
