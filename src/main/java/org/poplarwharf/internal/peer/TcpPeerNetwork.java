package org.poplarwharf.internal.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.dynatrace.hash4j.hashing.Hashing;
import io.activej.eventloop.Eventloop;
import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.net.SocketSettings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.peer.PeerDialSchedule.Origin;

/**
 * Connects to other nodes over TCP. A limited number of connections is kept permanently; further ones are opened on
 * demand and closed when idle.
 *
 * <p>Invariants: at most one connection per advertised address is established. If two nodes dial each other at the same
 * time, the connection dialed by the node with the lower address is kept. Listeners are notified that a replaced or
 * timed-out connection is down before they are notified of its successor. Confined to the control thread.
 */
public final class TcpPeerNetwork implements PeerNetwork, PeerAddressRegistry, PeerConnection.Listener {
    private static final long SIMULTANEOUS_DIAL_WINDOW_MILLIS = 1_000;

    private final Eventloop control;
    private final MonotonicClock clock;
    private final PeerOptions options;
    private final PeerIdentity identity;
    private final Counter malformedFrames;
    private final Map<String, PeerDialSchedule> schedules = new HashMap<>();
    private final MeshSelector meshSelector;
    private final PeerTrafficMeter traffic;
    private final Set<PeerDialSchedule> onDemand = new HashSet<>();
    private final Map<String, PeerConnection> connections = new HashMap<>();
    private final Map<String, String> advertisedByDialed = new HashMap<>();
    private final Set<PeerConnection> openConnections = new HashSet<>();
    private final Set<String> ownAddresses = new HashSet<>();
    private final List<Listener> listeners = new ArrayList<>();
    private final List<Consumer<PoplarWharfException>> malformedFrameListeners = new ArrayList<>();
    private final SplittableRandom random;
    private SimpleServer server;
    private PeerMessage.Hello ownHello;
    private long pingSequence;
    private boolean stopped;

    public TcpPeerNetwork(
            Eventloop control,
            MonotonicClock clock,
            PeerOptions options,
            PeerIdentity identity,
            MetricRegistry metrics,
            long seed) {
        this.control = control;
        this.clock = clock;
        this.options = options;
        this.identity = identity;
        this.malformedFrames = metrics.counter("peer.malformed-frames");
        this.traffic = new PeerTrafficMeter(metrics);
        this.meshSelector = new MeshSelector(options.meshConnections());
        this.random = new SplittableRandom(seed);
    }

    /** Listens for connections and starts connecting to the known addresses. */
    public Promise<Void> start() {
        InetSocketAddress listenAddress = PeerAddress.parse(identity.peerAddress());
        server = SimpleServer.builder(control, this::handleAccepted)
                .withListenAddress(listenAddress)
                .build();
        try {
            server.listen();
        } catch (IOException e) {
            return Promise.ofException(Reporter.addressUnusable(identity.peerAddress(), e));
        }
        String boundAddress = PeerAddress.format(
                listenAddress, server.getBoundAddresses().get(0).getPort());
        String advertised = identity.advertisedAddress().orElse(boundAddress);
        ownAddresses.add(boundAddress);
        ownHello = new PeerMessage.Hello(identity.nodeId(), identity.incarnation(), identity.zone(), advertised);
        ownAddresses.add(advertised);
        Optional.ofNullable(schedules.get(advertised)).ifPresent(this::remove);
        maintainConnections();
        return Promise.complete();
    }

    /** Closes all connections and the listening socket. */
    public Promise<Void> stop() {
        stopped = true;
        List.copyOf(openConnections).forEach(PeerConnection::close);
        return server == null ? Promise.complete() : server.close().toVoid();
    }

    /** Returns the address that this node advertises in its hello message. */
    public String advertisedAddress() {
        return ownHello.peerAddress();
    }

    @Override
    public void add(String peerAddress) {
        addAddress(peerAddress, Origin.NODE);
    }

    /** Adds addresses from the settings, which are never removed. */
    public void addSeeds(Collection<String> peerAddresses) {
        peerAddresses.forEach(a -> addAddress(a, Origin.SEED));
    }

    /** Adds the addresses in the VM list that may be nodes, and removes those that are no longer in the list. */
    public void updateVmList(Set<String> peerAddresses) {
        List.copyOf(schedules.values()).stream()
                .filter(s -> s.origin() == Origin.LIST && !peerAddresses.contains(s.address()))
                .forEach(this::remove);
        peerAddresses.forEach(a -> addAddress(a, Origin.LIST));
    }

    /** Adds a listener for frames that can't be decoded. */
    public void addMalformedFrameListener(Consumer<PoplarWharfException> listener) {
        malformedFrameListeners.add(listener);
    }

    @Override
    public boolean send(String peerAddress, PeerMessage message) {
        PeerConnection connection = connections.get(advertisedByDialed.getOrDefault(peerAddress, peerAddress));
        if (connection != null) {
            return connection.send(message);
        }
        add(peerAddress);
        Optional.ofNullable(schedules.get(peerAddress)).ifPresent(this::connectOnDemand);
        return false;
    }

    @Override
    public List<String> connectedAddresses() {
        return connections.keySet().stream().sorted().toList();
    }

    @Override
    public void addListener(Listener listener) {
        listeners.add(listener);
    }

    private void addAddress(String peerAddress, Origin origin) {
        if (ownAddresses.contains(peerAddress) || !PeerAddress.isValid(peerAddress)) {
            return;
        }
        PeerDialSchedule schedule = schedules.get(peerAddress);
        if (schedule == null) {
            long weight = Hashing.komihash5_0().hashCharsToLong(identity.nodeId() + '\n' + peerAddress);
            schedules.put(peerAddress, new PeerDialSchedule(peerAddress, weight, origin, options, random.split()));
            meshSelector.invalidate();
        } else if (origin == Origin.NODE) {
            schedule.markAsNode();
            meshSelector.invalidate();
        }
    }

    private void connectOnDemand(PeerDialSchedule schedule) {
        onDemand.add(schedule);
        dialIfDue(schedule);
    }

    private void remove(PeerDialSchedule schedule) {
        schedules.remove(schedule.address());
        advertisedByDialed.remove(schedule.address());
        onDemand.remove(schedule);
        meshSelector.invalidate();
    }

    private boolean isDesired(PeerDialSchedule schedule) {
        return onDemand.contains(schedule)
                || meshSelector.select(schedules.values()).contains(schedule);
    }

    private Set<PeerDialSchedule> desiredSchedules() {
        Set<PeerDialSchedule> desired = new HashSet<>(meshSelector.select(schedules.values()));
        desired.addAll(onDemand);
        return desired;
    }

    private void maintainConnections() {
        if (stopped) {
            return;
        }
        pingSequence++;
        for (PeerConnection connection : List.copyOf(openConnections)) {
            checkConnection(connection);
        }
        List.copyOf(schedules.values()).stream().filter(this::isExpired).forEach(this::remove);
        desiredSchedules().forEach(this::dialIfDue);
        control.delayBackground(
                Math.min(options.pingIntervalMillis(), options.minBackoffMillis()), this::maintainConnections);
    }

    private boolean isExpired(PeerDialSchedule schedule) {
        return schedule.isExpired(clock.nowMillis()) && !isConnected(schedule.address());
    }

    private boolean isConnected(String address) {
        return connections.containsKey(advertisedByDialed.getOrDefault(address, address));
    }

    private void checkConnection(PeerConnection connection) {
        long timeoutMillis =
                connection.hello().isPresent() ? options.silenceTimeoutMillis() : options.connectTimeoutMillis();
        if (connection.millisSinceLastReceived() > timeoutMillis) {
            connection.close();
            return;
        }
        if (isIdleOnDemand(connection)) {
            onDemand.remove(schedules.get(connection.dialedAddress().orElseThrow()));
            connection.close();
            return;
        }
        if (connection.hello().isPresent() && connection.startPingIfDue()) {
            connection.send(new PeerMessage.Ping(pingSequence));
        }
    }

    /**
     * Returns whether a connection is idle and this node opened it on demand. A connection that the other end opened is
     * kept, since the other end may need it.
     */
    private boolean isIdleOnDemand(PeerConnection connection) {
        return connection.idleMillis() > options.idleTimeoutMillis()
                && connection
                        .dialedAddress()
                        .map(schedules::get)
                        .filter(schedule ->
                                !meshSelector.select(schedules.values()).contains(schedule))
                        .isPresent();
    }

    private void dialIfDue(PeerDialSchedule schedule) {
        String address = schedule.address();
        if (stopped || ownAddresses.contains(address)) {
            remove(schedule);
            return;
        }
        if (isConnected(address)
                || !isDesired(schedule)
                || !schedule.isDue(clock.nowMillis(), !connections.isEmpty())) {
            return;
        }
        if (schedule.hasExhaustedAttempts()) {
            remove(schedule);
            return;
        }
        schedule.attemptStarted();
        InetSocketAddress remote = PeerAddress.parse(address);
        TcpSocket.connect(control, remote, options.connectTimeoutMillis(), SocketSettings.defaultInstance())
                .whenComplete((socket, e) -> handleConnectResult(schedule, socket, e));
    }

    private void handleConnectResult(PeerDialSchedule schedule, TcpSocket socket, Exception e) {
        if (e != null) {
            schedule.attemptFailed(clock.nowMillis());
            meshSelector.invalidate();
            return;
        }
        if (stopped) {
            socket.close();
            return;
        }
        PeerConnection connection =
                new PeerConnection(socket, Optional.of(schedule.address()), options, clock, traffic, this);
        openConnections.add(connection);
        connection.open(ownHello);
    }

    private void handleAccepted(ITcpSocket socket) {
        PeerConnection connection = new PeerConnection(socket, Optional.empty(), options, clock, traffic, this);
        openConnections.add(connection);
        connection.open(ownHello);
    }

    @Override
    public void onHello(PeerConnection connection, PeerMessage.Hello hello) {
        if (isOwnHello(hello)) {
            connection.dialedAddress().ifPresent(ownAddresses::add);
            connection.close();
            return;
        }
        String address = hello.peerAddress();
        connection.dialedAddress().filter(d -> !d.equals(address)).ifPresent(d -> advertisedByDialed.put(d, address));
        PeerConnection existing = connections.get(address);
        if (existing != null && !replaces(connection, existing, address)) {
            connection.close();
            return;
        }
        if (existing != null) {
            existing.close();
        }
        connections.put(address, connection);
        addAddress(address, Origin.NODE);
        findSchedule(connection, address).ifPresent(PeerDialSchedule::attemptSucceeded);
        meshSelector.invalidate();
        listeners.forEach(l -> l.onConnected(address, hello));
    }

    private boolean isOwnHello(PeerMessage.Hello hello) {
        return hello.nodeId().equals(identity.nodeId()) && hello.incarnation() == identity.incarnation();
    }

    private boolean replaces(PeerConnection candidate, PeerConnection existing, String address) {
        boolean isSameIncarnation = existing.hello().equals(candidate.hello());
        if (!isSameIncarnation || existing.isOutbound() == candidate.isOutbound()) {
            return true;
        }
        if (existing.ageMillis() > SIMULTANEOUS_DIAL_WINDOW_MILLIS) {
            return true;
        }
        boolean isOwnAddressLower = ownHello.peerAddress().compareTo(address) < 0;
        return candidate.isOutbound() == isOwnAddressLower;
    }

    private Optional<PeerDialSchedule> findSchedule(PeerConnection connection, String address) {
        return Optional.ofNullable(schedules.get(connection.dialedAddress().orElse(address)));
    }

    @Override
    public void onMessage(PeerConnection connection, PeerMessage message) {
        String address = connection.hello().orElseThrow().peerAddress();
        if (connections.get(address) != connection) {
            return;
        }
        listeners.forEach(l -> l.onMessage(address, message));
    }

    @Override
    public void onMalformedFrame(PeerConnection connection, PoplarWharfException failure) {
        if (mayBeTarget(connection)) {
            return;
        }
        malformedFrames.inc();
        malformedFrameListeners.forEach(listener -> listener.accept(failure));
    }

    /** Returns whether the remote address is known only from the VM list, which also contains targets. */
    private boolean mayBeTarget(PeerConnection connection) {
        Optional<PeerDialSchedule> schedule = connection.dialedAddress().map(schedules::get);
        return connection.hello().isEmpty()
                && schedule.filter(s -> s.origin() == Origin.LIST).isPresent();
    }

    @Override
    public void onClosed(PeerConnection connection) {
        openConnections.remove(connection);
        String address = connection.hello().map(PeerMessage.Hello::peerAddress).orElse("");
        boolean wasEstablished = connections.remove(address, connection);
        Optional<PeerDialSchedule> schedule = findSchedule(connection, address);
        if (wasEstablished) {
            listeners.forEach(l -> l.onDisconnected(address));
            schedule.ifPresent(PeerDialSchedule::connectionLost);
            schedule.ifPresent(s -> control.post(() -> dialIfDue(s)));
            return;
        }
        if (connection.isOutbound() && connection.hello().isEmpty()) {
            schedule.ifPresent(s -> s.handshakeFailed(clock.nowMillis()));
        } else if (connection.isOutbound()) {
            schedule.ifPresent(s -> s.attemptFailed(clock.nowMillis()));
        }
    }
}
