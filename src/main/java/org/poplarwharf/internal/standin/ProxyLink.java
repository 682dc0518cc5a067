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
 * One link of the proxy: a listening address, its upstream and the open connections between them.
 *
 * <p>Invariant: the address does not change when the link stops and resumes listening. Confined to one reactor thread.
 */
final class ProxyLink {
    private final NioReactor reactor;
    private final String name;
    private final InetSocketAddress upstream;
    private final Journal<ProxyEvent> journal;
    private final Set<ProxyConnection> connections = new LinkedHashSet<>();
    private final InetSocketAddress address;
    private SimpleServer server;
    private LinkFaults faults = LinkFaults.none();
    private long acceptedCount;
    private boolean listening;

    ProxyLink(NioReactor reactor, ProxyStandin.LinkSpec link, Journal<ProxyEvent> journal) {
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

    void setFaults(LinkFaults newFaults) {
        faults = newFaults;
        journal.add(new ProxyEvent(name, ProxyEvent.Kind.FAULTS_SET, 0));
        if (faults.refuse()) {
            stopListening();
        } else if (!listening) {
            listen(address);
        }
        List.copyOf(connections).forEach(ProxyConnection::faultsChanged);
    }

    void resetConnections() {
        journal.add(new ProxyEvent(name, ProxyEvent.Kind.RESET, 0));
        List.copyOf(connections).forEach(ProxyConnection::reset);
    }

    void silenceConnections() {
        journal.add(new ProxyEvent(name, ProxyEvent.Kind.SILENCED, 0));
        connections.forEach(ProxyConnection::silence);
    }

    void setFrozen(boolean frozen) {
        journal.add(new ProxyEvent(name, frozen ? ProxyEvent.Kind.FROZEN : ProxyEvent.Kind.THAWED, 0));
        List.copyOf(connections).forEach(connection -> connection.setFrozen(frozen));
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
        long connectionNumber = ++acceptedCount;
        TcpSocket.connect(reactor, upstream, 0, SocketSettings.defaultInstance())
                .whenResult(socket -> open(connectionNumber, client, socket))
                .whenException(failure -> {
                    journal.add(new ProxyEvent(name, ProxyEvent.Kind.UPSTREAM_REFUSED, connectionNumber));
                    ProxyConnection.abort(client);
                });
    }

    private void open(long connectionNumber, TcpSocket client, TcpSocket upstreamSocket) {
        journal.add(new ProxyEvent(name, ProxyEvent.Kind.OPENED, connectionNumber));
        ProxyConnection connection = new ProxyConnection(
                reactor,
                client,
                upstreamSocket,
                this::faults,
                closedConnection -> onClosed(connectionNumber, closedConnection));
        connections.add(connection);
        connection.start();
    }

    private void onClosed(long connectionNumber, ProxyConnection connection) {
        connections.remove(connection);
        journal.add(new ProxyEvent(name, ProxyEvent.Kind.CLOSED, connectionNumber));
    }
}
