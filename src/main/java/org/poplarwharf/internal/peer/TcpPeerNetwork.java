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
 * Links to other nodes over TCP: a bounded number that is kept always, and others while messages pass on them.
 *
 * <p>Invariants: at most one link for each announced address takes part; of two that were dialled at the same time,
 * the one that the lower address dialled stays. A link that loses, or that is silent too long, is told as down before
 * another one is told as up. Belongs to the control thread.
 */
public final class TcpPeerNetwork implements PeerNetwork, PeerAddressRegistry, PeerConnection.Listener {
    private static final long SETTLE_MILLIS = 1_000;

    private final Eventloop control;
    private final MonotonicClock clock;
    private final PeerOptions options;
    private final PeerIdentity identity;
    private final Counter malformedFrames;
    private final Map<String, PeerDialSchedule> diallers = new HashMap<>();
    private final MeshSelector mesh;
    private final PeerTrafficMeter traffic;
    private final Set<PeerDialSchedule> demanded = new HashSet<>();
    private final Map<String, PeerConnection> links = new HashMap<>();
    private final Map<String, String> announcedByDialled = new HashMap<>();
    private final Set<PeerConnection> open = new HashSet<>();
    private final Set<String> own = new HashSet<>();
    private final List<Listener> listeners = new ArrayList<>();
    private final List<Consumer<PoplarWharfException>> malformedListeners = new ArrayList<>();
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
        this.mesh = new MeshSelector(options.meshConnections());
        this.random = new SplittableRandom(seed);
    }

    /** Listens and begins to keep links to the known addresses. */
    public Promise<Void> start() {
        InetSocketAddress listen = PeerAddress.parse(identity.peerAddress());
        server = SimpleServer.builder(control, this::accepted)
                .withListenAddress(listen)
                .build();
        try {
            server.listen();
        } catch (IOException e) {
            return Promise.ofException(Reporter.addressUnusable(identity.peerAddress(), e));
        }
        String bound =
                PeerAddress.format(listen, server.getBoundAddresses().get(0).getPort());
        String announced = identity.advertisedAddress().orElse(bound);
        own.add(bound);
        ownHello = new PeerMessage.Hello(identity.nodeId(), identity.incarnation(), identity.zone(), announced);
        own.add(announced);
        Optional.ofNullable(diallers.get(announced)).ifPresent(this::forget);
        tick();
        return Promise.complete();
    }

    /** Closes every link and the listening socket. */
    public Promise<Void> stop() {
        stopped = true;
        List.copyOf(open).forEach(PeerConnection::close);
        return server == null ? Promise.complete() : server.close().toVoid();
    }

    /** Returns the address that this node announces. */
    public String advertisedAddress() {
        return ownHello.peerAddress();
    }

    @Override
    public void add(String peerAddress) {
        learn(peerAddress, Origin.NODE);
    }

    /** Adds addresses from the settings, which are never forgotten. */
    public void addSeeds(Collection<String> peerAddresses) {
        peerAddresses.forEach(a -> learn(a, Origin.SEED));
    }

    /** Takes the addresses that may be nodes by the VM list; those it named before and now does not are forgotten. */
    public void updateVmList(Set<String> peerAddresses) {
        List.copyOf(diallers.values()).stream()
                .filter(d -> d.origin() == Origin.LIST && !peerAddresses.contains(d.address()))
                .forEach(this::forget);
        peerAddresses.forEach(a -> learn(a, Origin.LIST));
    }

    /** Registers who hears of messages that can't be read. */
    public void addMalformedFrameListener(Consumer<PoplarWharfException> listener) {
        malformedListeners.add(listener);
    }

    @Override
    public boolean send(String peerAddress, PeerMessage message) {
        PeerConnection link = links.get(announcedByDialled.getOrDefault(peerAddress, peerAddress));
        if (link != null) {
            return link.send(message);
        }
        add(peerAddress);
        Optional.ofNullable(diallers.get(peerAddress)).ifPresent(this::demand);
        return false;
    }

    @Override
    public List<String> connectedAddresses() {
        return links.keySet().stream().sorted().toList();
    }

    @Override
    public void addListener(Listener listener) {
        listeners.add(listener);
    }

    private void learn(String peerAddress, Origin origin) {
        if (own.contains(peerAddress) || !PeerAddress.isValid(peerAddress)) {
            return;
        }
        PeerDialSchedule known = diallers.get(peerAddress);
        if (known == null) {
            long weight = Hashing.komihash5_0().hashCharsToLong(identity.nodeId() + '\n' + peerAddress);
            diallers.put(peerAddress, new PeerDialSchedule(peerAddress, weight, origin, options, random.split()));
            mesh.invalidate();
        } else if (origin == Origin.NODE) {
            known.markAsNode();
            mesh.invalidate();
        }
    }

    private void demand(PeerDialSchedule dialler) {
        demanded.add(dialler);
        dialWhenDue(dialler);
    }

    private void forget(PeerDialSchedule dialler) {
        diallers.remove(dialler.address());
        announcedByDialled.remove(dialler.address());
        demanded.remove(dialler);
        mesh.invalidate();
    }

    private boolean wanted(PeerDialSchedule dialler) {
        return demanded.contains(dialler) || mesh.select(diallers.values()).contains(dialler);
    }

    private Set<PeerDialSchedule> wanted() {
        Set<PeerDialSchedule> wanted = new HashSet<>(mesh.select(diallers.values()));
        wanted.addAll(demanded);
        return wanted;
    }

    private void tick() {
        if (stopped) {
            return;
        }
        pingSequence++;
        for (PeerConnection link : List.copyOf(open)) {
            checkLink(link);
        }
        List.copyOf(diallers.values()).stream().filter(this::outlived).forEach(this::forget);
        wanted().forEach(this::dialWhenDue);
        control.delayBackground(Math.min(options.pingIntervalMillis(), options.minBackoffMillis()), this::tick);
    }

    private boolean outlived(PeerDialSchedule dialler) {
        return dialler.isExpired(clock.nowMillis()) && !linked(dialler.address());
    }

    private boolean linked(String address) {
        return links.containsKey(announcedByDialled.getOrDefault(address, address));
    }

    private void checkLink(PeerConnection link) {
        long limitMillis = link.hello().isPresent() ? options.silenceTimeoutMillis() : options.connectTimeoutMillis();
        if (link.millisSinceLastReceived() > limitMillis) {
            link.close();
            return;
        }
        if (unneeded(link)) {
            demanded.remove(diallers.get(link.dialedAddress().orElseThrow()));
            link.close();
            return;
        }
        if (link.hello().isPresent() && link.startPingIfDue()) {
            link.send(new PeerMessage.Ping(pingSequence));
        }
    }

    /** Tells whether this node opened the link for messages that have ceased; the other end may have reasons of its own. */
    private boolean unneeded(PeerConnection link) {
        return link.idleMillis() > options.idleTimeoutMillis()
                && link.dialedAddress()
                        .map(diallers::get)
                        .filter(dialler -> !mesh.select(diallers.values()).contains(dialler))
                        .isPresent();
    }

    private void dialWhenDue(PeerDialSchedule dialler) {
        String address = dialler.address();
        if (stopped || own.contains(address)) {
            forget(dialler);
            return;
        }
        if (linked(address) || !wanted(dialler) || !dialler.isDue(clock.nowMillis(), !links.isEmpty())) {
            return;
        }
        if (dialler.hasExhaustedAttempts()) {
            forget(dialler);
            return;
        }
        dialler.attemptStarted();
        InetSocketAddress remote = PeerAddress.parse(address);
        TcpSocket.connect(control, remote, options.connectTimeoutMillis(), SocketSettings.defaultInstance())
                .whenComplete((socket, e) -> connected(dialler, socket, e));
    }

    private void connected(PeerDialSchedule dialler, TcpSocket socket, Exception e) {
        if (e != null) {
            dialler.attemptFailed(clock.nowMillis());
            mesh.invalidate();
            return;
        }
        if (stopped) {
            socket.close();
            return;
        }
        PeerConnection link = new PeerConnection(socket, Optional.of(dialler.address()), options, clock, traffic, this);
        open.add(link);
        link.open(ownHello);
    }

    private void accepted(ITcpSocket socket) {
        PeerConnection link = new PeerConnection(socket, Optional.empty(), options, clock, traffic, this);
        open.add(link);
        link.open(ownHello);
    }

    @Override
    public void onHello(PeerConnection link, PeerMessage.Hello hello) {
        if (isOwn(hello)) {
            link.dialedAddress().ifPresent(own::add);
            link.close();
            return;
        }
        String address = hello.peerAddress();
        link.dialedAddress().filter(d -> !d.equals(address)).ifPresent(d -> announcedByDialled.put(d, address));
        PeerConnection present = links.get(address);
        if (present != null && !replaces(link, present, address)) {
            link.close();
            return;
        }
        if (present != null) {
            present.close();
        }
        links.put(address, link);
        learn(address, Origin.NODE);
        dialler(link, address).ifPresent(PeerDialSchedule::attemptSucceeded);
        mesh.invalidate();
        listeners.forEach(l -> l.onConnected(address, hello));
    }

    private boolean isOwn(PeerMessage.Hello hello) {
        return hello.nodeId().equals(identity.nodeId()) && hello.incarnation() == identity.incarnation();
    }

    private boolean replaces(PeerConnection fresh, PeerConnection present, String address) {
        boolean sameRun = present.hello().equals(fresh.hello());
        if (!sameRun || present.isOutbound() == fresh.isOutbound()) {
            return true;
        }
        if (present.ageMillis() > SETTLE_MILLIS) {
            return true;
        }
        boolean ownIsLower = ownHello.peerAddress().compareTo(address) < 0;
        return fresh.isOutbound() == ownIsLower;
    }

    private Optional<PeerDialSchedule> dialler(PeerConnection link, String address) {
        return Optional.ofNullable(diallers.get(link.dialedAddress().orElse(address)));
    }

    @Override
    public void onMessage(PeerConnection link, PeerMessage message) {
        String address = link.hello().orElseThrow().peerAddress();
        if (links.get(address) != link) {
            return;
        }
        listeners.forEach(l -> l.onMessage(address, message));
    }

    @Override
    public void onMalformedFrame(PeerConnection link, PoplarWharfException failure) {
        if (mayBeTarget(link)) {
            return;
        }
        malformedFrames.inc();
        malformedListeners.forEach(listener -> listener.accept(failure));
    }

    /** Tells whether the other end of a link is known by the VM list alone, which names targets too. */
    private boolean mayBeTarget(PeerConnection link) {
        Optional<PeerDialSchedule> dialler = link.dialedAddress().map(diallers::get);
        return link.hello().isEmpty()
                && dialler.filter(d -> d.origin() == Origin.LIST).isPresent();
    }

    @Override
    public void onClosed(PeerConnection link) {
        open.remove(link);
        String address = link.hello().map(PeerMessage.Hello::peerAddress).orElse("");
        boolean wasLive = links.remove(address, link);
        Optional<PeerDialSchedule> dialler = dialler(link, address);
        if (wasLive) {
            listeners.forEach(l -> l.onDisconnected(address));
            dialler.ifPresent(PeerDialSchedule::connectionLost);
            dialler.ifPresent(d -> control.post(() -> dialWhenDue(d)));
            return;
        }
        if (link.isOutbound() && link.hello().isEmpty()) {
            dialler.ifPresent(d -> d.handshakeFailed(clock.nowMillis()));
        } else if (link.isOutbound()) {
            dialler.ifPresent(d -> d.attemptFailed(clock.nowMillis()));
        }
    }
}
