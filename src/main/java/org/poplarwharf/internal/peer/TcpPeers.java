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
import org.poplarwharf.internal.peer.PeerDialler.Origin;

/**
 * Links to other nodes over TCP: a bounded number that is kept always, and others while messages pass on them.
 *
 * <p>Invariants: at most one link for each announced address takes part; of two that were dialled at the same time,
 * the one that the lower address dialled stays. A link that loses, or that is silent too long, is told as down before
 * another one is told as up. Belongs to the control thread.
 */
public final class TcpPeers implements Peers, PeerAddresses, PeerLink.Events {
    private static final long SETTLE_MILLIS = 1_000;

    private final Eventloop control;
    private final MonotonicClock clock;
    private final PeerOptions options;
    private final PeerIdentity identity;
    private final Counter malformedFrames;
    private final Map<String, PeerDialler> diallers = new HashMap<>();
    private final PeerMesh mesh;
    private final PeerTraffic traffic;
    private final Set<PeerDialler> demanded = new HashSet<>();
    private final Map<String, PeerLink> links = new HashMap<>();
    private final Map<String, String> announcedByDialled = new HashMap<>();
    private final Set<PeerLink> open = new HashSet<>();
    private final Set<String> own = new HashSet<>();
    private final List<Listener> listeners = new ArrayList<>();
    private final List<Consumer<PoplarWharfException>> malformedListeners = new ArrayList<>();
    private final SplittableRandom random;
    private SimpleServer server;
    private PeerMessage.Hello ownHello;
    private long pingSequence;
    private boolean stopped;

    public TcpPeers(
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
        this.traffic = new PeerTraffic(metrics);
        this.mesh = new PeerMesh(options.meshLinks());
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
        List.copyOf(open).forEach(PeerLink::close);
        return server == null ? Promise.complete() : server.close().toVoid();
    }

    /** Returns the address that this node announces. */
    public String announcedAddress() {
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
    public void listed(Set<String> peerAddresses) {
        List.copyOf(diallers.values()).stream()
                .filter(d -> d.origin() == Origin.LIST && !peerAddresses.contains(d.address()))
                .forEach(this::forget);
        peerAddresses.forEach(a -> learn(a, Origin.LIST));
    }

    /** Registers who hears of messages that can't be read. */
    public void onMalformed(Consumer<PoplarWharfException> listener) {
        malformedListeners.add(listener);
    }

    @Override
    public boolean send(String peerAddress, PeerMessage message) {
        PeerLink link = links.get(announcedByDialled.getOrDefault(peerAddress, peerAddress));
        if (link != null) {
            return link.send(message);
        }
        add(peerAddress);
        Optional.ofNullable(diallers.get(peerAddress)).ifPresent(this::demand);
        return false;
    }

    @Override
    public List<String> connected() {
        return links.keySet().stream().sorted().toList();
    }

    @Override
    public void listen(Listener listener) {
        listeners.add(listener);
    }

    private void learn(String peerAddress, Origin origin) {
        if (own.contains(peerAddress) || !PeerAddress.valid(peerAddress)) {
            return;
        }
        PeerDialler known = diallers.get(peerAddress);
        if (known == null) {
            long weight = Hashing.komihash5_0().hashCharsToLong(identity.nodeId() + '\n' + peerAddress);
            diallers.put(peerAddress, new PeerDialler(peerAddress, weight, origin, options, random.split()));
            mesh.changed();
        } else if (origin == Origin.NODE) {
            known.isNode();
            mesh.changed();
        }
    }

    private void demand(PeerDialler dialler) {
        demanded.add(dialler);
        dialWhenDue(dialler);
    }

    private void forget(PeerDialler dialler) {
        diallers.remove(dialler.address());
        announcedByDialled.remove(dialler.address());
        demanded.remove(dialler);
        mesh.changed();
    }

    private boolean wanted(PeerDialler dialler) {
        return demanded.contains(dialler) || mesh.chosen(diallers.values()).contains(dialler);
    }

    private Set<PeerDialler> wanted() {
        Set<PeerDialler> wanted = new HashSet<>(mesh.chosen(diallers.values()));
        wanted.addAll(demanded);
        return wanted;
    }

    private void tick() {
        if (stopped) {
            return;
        }
        pingSequence++;
        for (PeerLink link : List.copyOf(open)) {
            checkLink(link);
        }
        List.copyOf(diallers.values()).stream().filter(this::outlived).forEach(this::forget);
        wanted().forEach(this::dialWhenDue);
        control.delayBackground(Math.min(options.pingMillis(), options.backoffMinMillis()), this::tick);
    }

    private boolean outlived(PeerDialler dialler) {
        return dialler.outlived(clock.nowMillis()) && !linked(dialler.address());
    }

    private boolean linked(String address) {
        return links.containsKey(announcedByDialled.getOrDefault(address, address));
    }

    private void checkLink(PeerLink link) {
        long limitMillis = link.hello().isPresent() ? options.silenceMillis() : options.connectMillis();
        if (link.silentMillis() > limitMillis) {
            link.close();
            return;
        }
        if (unneeded(link)) {
            demanded.remove(diallers.get(link.dialledAddress().orElseThrow()));
            link.close();
            return;
        }
        if (link.hello().isPresent() && link.pingDue()) {
            link.send(new PeerMessage.Ping(pingSequence));
        }
    }

    /** Tells whether this node opened the link for messages that have ceased; the other end may have reasons of its own. */
    private boolean unneeded(PeerLink link) {
        return link.unusedMillis() > options.idleMillis()
                && link.dialledAddress()
                        .map(diallers::get)
                        .filter(dialler -> !mesh.chosen(diallers.values()).contains(dialler))
                        .isPresent();
    }

    private void dialWhenDue(PeerDialler dialler) {
        String address = dialler.address();
        if (stopped || own.contains(address)) {
            forget(dialler);
            return;
        }
        if (linked(address) || !wanted(dialler) || !dialler.due(clock.nowMillis(), !links.isEmpty())) {
            return;
        }
        if (dialler.exhausted()) {
            forget(dialler);
            return;
        }
        dialler.begun();
        InetSocketAddress remote = PeerAddress.parse(address);
        TcpSocket.connect(control, remote, options.connectMillis(), SocketSettings.defaultInstance())
                .whenComplete((socket, e) -> connected(dialler, socket, e));
    }

    private void connected(PeerDialler dialler, TcpSocket socket, Exception e) {
        if (e != null) {
            dialler.failed(clock.nowMillis());
            mesh.changed();
            return;
        }
        if (stopped) {
            socket.close();
            return;
        }
        PeerLink link = new PeerLink(socket, Optional.of(dialler.address()), options, clock, traffic, this);
        open.add(link);
        link.open(ownHello);
    }

    private void accepted(ITcpSocket socket) {
        PeerLink link = new PeerLink(socket, Optional.empty(), options, clock, traffic, this);
        open.add(link);
        link.open(ownHello);
    }

    @Override
    public void greeted(PeerLink link, PeerMessage.Hello hello) {
        if (isOwn(hello)) {
            link.dialledAddress().ifPresent(own::add);
            link.close();
            return;
        }
        String address = hello.peerAddress();
        link.dialledAddress().filter(d -> !d.equals(address)).ifPresent(d -> announcedByDialled.put(d, address));
        PeerLink present = links.get(address);
        if (present != null && !replaces(link, present, address)) {
            link.close();
            return;
        }
        if (present != null) {
            present.close();
        }
        links.put(address, link);
        learn(address, Origin.NODE);
        dialler(link, address).ifPresent(PeerDialler::succeeded);
        mesh.changed();
        listeners.forEach(l -> l.linkUp(address, hello));
    }

    private boolean isOwn(PeerMessage.Hello hello) {
        return hello.nodeId().equals(identity.nodeId()) && hello.incarnation() == identity.incarnation();
    }

    private boolean replaces(PeerLink fresh, PeerLink present, String address) {
        boolean sameRun = present.hello().equals(fresh.hello());
        if (!sameRun || present.dialled() == fresh.dialled()) {
            return true;
        }
        if (present.ageMillis() > SETTLE_MILLIS) {
            return true;
        }
        boolean ownIsLower = ownHello.peerAddress().compareTo(address) < 0;
        return fresh.dialled() == ownIsLower;
    }

    private Optional<PeerDialler> dialler(PeerLink link, String address) {
        return Optional.ofNullable(diallers.get(link.dialledAddress().orElse(address)));
    }

    @Override
    public void received(PeerLink link, PeerMessage message) {
        String address = link.hello().orElseThrow().peerAddress();
        if (links.get(address) != link) {
            return;
        }
        listeners.forEach(l -> l.received(address, message));
    }

    @Override
    public void malformed(PeerLink link, PoplarWharfException failure) {
        if (mayBeTarget(link)) {
            return;
        }
        malformedFrames.inc();
        malformedListeners.forEach(listener -> listener.accept(failure));
    }

    /** Tells whether the other end of a link is known by the VM list alone, which names targets too. */
    private boolean mayBeTarget(PeerLink link) {
        Optional<PeerDialler> dialler = link.dialledAddress().map(diallers::get);
        return link.hello().isEmpty()
                && dialler.filter(d -> d.origin() == Origin.LIST).isPresent();
    }

    @Override
    public void closed(PeerLink link) {
        open.remove(link);
        String address = link.hello().map(PeerMessage.Hello::peerAddress).orElse("");
        boolean wasLive = links.remove(address, link);
        Optional<PeerDialler> dialler = dialler(link, address);
        if (wasLive) {
            listeners.forEach(l -> l.linkDown(address));
            dialler.ifPresent(PeerDialler::lost);
            dialler.ifPresent(d -> control.post(() -> dialWhenDue(d)));
            return;
        }
        if (link.dialled() && link.hello().isEmpty()) {
            dialler.ifPresent(d -> d.foreign(clock.nowMillis()));
        } else if (link.dialled()) {
            dialler.ifPresent(d -> d.failed(clock.nowMillis()));
        }
    }
}
