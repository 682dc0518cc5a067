package org.poplarwharf.internal.config;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.codec.MessagePackCodec;
import org.poplarwharf.internal.config.ConfigView.PeerVersion;
import org.poplarwharf.internal.peer.PeerMessage;
import org.poplarwharf.internal.peer.PeerMessage.ConfigCheckpoint;
import org.poplarwharf.internal.peer.PeerMessage.ConfigRequest;
import org.poplarwharf.internal.peer.PeerMessage.ConfigVersion;
import org.poplarwharf.internal.peer.PeerNetwork;

/**
 * Tells peers which configuration this node knows, and learns a newer one from them.
 *
 * <p>Invariant: a state is offered to the fold only, which takes it only when it is ahead. Belongs to the control thread.
 */
final class ConfigPeers implements PeerNetwork.Listener {
    private static final MessagePackCodec<ConfigRecord> CODEC = new MessagePackCodec<>(ConfigRecord.class);

    private static final long NONE_TOLD = -1;

    private final PeerNetwork peers;
    private final Supplier<ConfigVersion> own;
    private final Supplier<ConfigRecord> checkpoint;
    private final Consumer<ConfigRecord> learned;
    private final Map<String, ConfigVersion> known = new HashMap<>();
    private final Set<String> ahead = new HashSet<>();

    ConfigPeers(
            PeerNetwork peers,
            Supplier<ConfigVersion> own,
            Supplier<ConfigRecord> checkpoint,
            Consumer<ConfigRecord> learned) {
        this.peers = peers;
        this.own = own;
        this.checkpoint = checkpoint;
        this.learned = learned;
        peers.addListener(this);
    }

    /** Asks a peer that has stayed ahead for its state. */
    void tick() {
        Set<String> stillAhead = new HashSet<>();
        known.forEach((address, theirs) -> {
            if (theirs.version() > own.get().version()) {
                stillAhead.add(address);
            }
        });
        Optional<String> asked = stillAhead.stream().filter(ahead::contains).findFirst();
        asked.ifPresent(address -> peers.send(address, new ConfigRequest()));
        ahead.clear();
        ahead.addAll(stillAhead);
    }

    /**
     * Tells every connected peer what this node knows; due when that changes. A new link is told on its own, and a link
     * loses no message while it stays, so that nothing is told twice.
     */
    void announce() {
        peers.connectedAddresses().forEach(address -> peers.send(address, own.get()));
    }

    /** Returns what each connected peer has told. */
    List<PeerVersion> versions() {
        return peers.connectedAddresses().stream()
                .map(address -> new PeerVersion(
                        address,
                        Optional.ofNullable(known.get(address))
                                .map(ConfigVersion::version)
                                .orElse(NONE_TOLD)))
                .toList();
    }

    /** Tells whether a reachable peer is known to have a newer configuration. */
    boolean anyAhead() {
        long version = own.get().version();
        return known.values().stream().anyMatch(theirs -> theirs.version() > version);
    }

    /** Tells whether every connected peer, of at least one, has told its version, and one of them has a configuration. */
    boolean allHeard() {
        List<String> connected = peers.connectedAddresses();
        return known.keySet().containsAll(connected)
                && known.values().stream().anyMatch(theirs -> theirs.version() >= 0);
    }

    @Override
    public void onConnected(String peerAddress, PeerMessage.Hello hello) {
        peers.send(peerAddress, own.get());
    }

    @Override
    public void onDisconnected(String peerAddress) {
        known.remove(peerAddress);
    }

    @Override
    public void onMessage(String peerAddress, PeerMessage message) {
        switch (message) {
            case ConfigVersion theirs -> known.put(peerAddress, theirs);
            case ConfigRequest wanted -> answer(peerAddress);
            case ConfigCheckpoint state -> learn(state);
            default -> {
                // Other roles take the rest.
            }
        }
    }

    private void answer(String peerAddress) {
        if (own.get().version() >= 0) {
            peers.send(peerAddress, new ConfigCheckpoint(List.of(CODEC.encode(checkpoint.get()))));
        }
    }

    private void learn(ConfigCheckpoint state) {
        for (byte[] bytes : state.checkpoint()) {
            try {
                learned.accept(CODEC.decode(bytes, "a peer's configuration"));
            } catch (PoplarWharfException malformed) {
                return;
            }
        }
    }
}
