package org.poplarwharf.internal.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.activej.eventloop.Eventloop;
import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
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
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.tinylog.Logger;

/**
 * Links to other nodes over TCP.
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
    private final Map<String, PeerLink> links = new HashMap<>();
    private final Map<String, String> announcedByDialled = new HashMap<>();
    private final Set<PeerLink> open = new HashSet<>();
    private final Set<String> own = new HashSet<>();
    private final List<Listener> listeners = new ArrayList<>();
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
        String announced =
                PeerAddress.format(listen, server.getBoundAddresses().get(0).getPort());
        ownHello = new PeerMessage.Hello(identity.nodeId(), identity.incarnation(), identity.zone(), announced);
        own.add(announced);
        diallers.remove(announced);
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
        learn(peerAddress, false);
    }

    /** Adds addresses from the settings, which are never forgotten. */
    public void addSeeds(Collection<String> peerAddresses) {
        peerAddresses.forEach(a -> learn(a, true));
    }

    @Override
    public boolean send(String peerAddress, PeerMessage message) {
        PeerLink link = links.get(announcedByDialled.getOrDefault(peerAddress, peerAddress));
        if (link != null) {
            return link.send(message);
        }
        add(peerAddress);
        Optional.ofNullable(diallers.get(peerAddress)).ifPresent(this::dialWhenDue);
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

    private void learn(String peerAddress, boolean seed) {
        if (own.contains(peerAddress) || diallers.containsKey(peerAddress) || !PeerAddress.valid(peerAddress)) {
            return;
        }
        diallers.put(peerAddress, new PeerDialler(peerAddress, seed, options, random.split()));
    }

    private void tick() {
        if (stopped) {
            return;
        }
        pingSequence++;
        for (PeerLink link : List.copyOf(open)) {
            checkLink(link);
        }
        for (PeerDialler dialler : List.copyOf(diallers.values())) {
            dialWhenDue(dialler);
        }
        control.delayBackground(Math.min(options.pingMillis(), options.backoffMinMillis()), this::tick);
    }

    private void checkLink(PeerLink link) {
        long limitMillis = link.hello().isPresent() ? options.silenceMillis() : options.connectMillis();
        if (link.silentMillis() > limitMillis) {
            link.close();
            return;
        }
        if (link.hello().isPresent() && link.pingDue()) {
            link.send(new PeerMessage.Ping(pingSequence));
        }
    }

    private void dialWhenDue(PeerDialler dialler) {
        String address = dialler.address();
        if (stopped || own.contains(address)) {
            diallers.remove(address);
            return;
        }
        boolean linked = links.containsKey(announcedByDialled.getOrDefault(address, address));
        if (linked || !dialler.due(clock.nowMillis())) {
            return;
        }
        if (dialler.exhausted()) {
            diallers.remove(address);
            announcedByDialled.remove(address);
            return;
        }
        dialler.begun();
        TcpSocket.connect(control, PeerAddress.parse(address), options.connectMillis(), null)
                .whenComplete((socket, e) -> connected(dialler, socket, e));
    }

    private void connected(PeerDialler dialler, TcpSocket socket, Exception e) {
        if (e != null) {
            dialler.failed(clock.nowMillis());
            return;
        }
        if (stopped) {
            socket.close();
            return;
        }
        PeerLink link = new PeerLink(socket, Optional.of(dialler.address()), options, clock, this);
        open.add(link);
        link.open(ownHello);
    }

    private void accepted(ITcpSocket socket) {
        PeerLink link = new PeerLink(socket, Optional.empty(), options, clock, this);
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
        learn(address, false);
        dialler(link, address).ifPresent(PeerDialler::succeeded);
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
        malformedFrames.inc();
        Logger.warn("peer-malformed-frame: {}", failure.getMessage());
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
        if (link.dialled()) {
            dialler.ifPresent(d -> d.failed(clock.nowMillis()));
        }
    }
}
