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
import org.poplarwharf.internal.peer.PeerMessage.ConfigKnown;
import org.poplarwharf.internal.peer.PeerMessage.ConfigState;
import org.poplarwharf.internal.peer.PeerMessage.ConfigWanted;
import org.poplarwharf.internal.peer.Peers;

/**
 * Announces the configuration version of this node to its peers and fetches newer configurations from them.
 *
 * <p>Invariant: a received checkpoint goes only to the fold, which accepts it only if it is newer. Confined to the
 * control thread.
 */
final class PeerConfigSync implements Peers.Listener {
    private static final MessagePackCodec<ConfigRecord> CODEC = new MessagePackCodec<>(ConfigRecord.class);

    private static final long UNKNOWN_VERSION = -1;

    private final Peers peers;
    private final Supplier<ConfigKnown> ownVersion;
    private final Supplier<ConfigRecord> checkpoint;
    private final Consumer<ConfigRecord> onCheckpoint;
    private final Map<String, ConfigKnown> announcedVersions = new HashMap<>();
    private final Set<String> peersAhead = new HashSet<>();

    PeerConfigSync(
            Peers peers,
            Supplier<ConfigKnown> ownVersion,
            Supplier<ConfigRecord> checkpoint,
            Consumer<ConfigRecord> onCheckpoint) {
        this.peers = peers;
        this.ownVersion = ownVersion;
        this.checkpoint = checkpoint;
        this.onCheckpoint = onCheckpoint;
        peers.listen(this);
    }

    /** Requests the configuration of a peer that was already ahead at the previous call and still is. */
    void requestNewerConfig() {
        Set<String> peersStillAhead = new HashSet<>();
        announcedVersions.forEach((address, announced) -> {
            if (announced.version() > ownVersion.get().version()) {
                peersStillAhead.add(address);
            }
        });
        Optional<String> asked =
                peersStillAhead.stream().filter(peersAhead::contains).findFirst();
        asked.ifPresent(address -> peers.send(address, new ConfigWanted()));
        peersAhead.clear();
        peersAhead.addAll(peersStillAhead);
    }

    /**
     * Sends the version of this node to all connected peers. Call this when the version changes. No repeats are needed:
     * a new connection gets the version when it is opened, and an open connection loses no messages.
     */
    void announceVersion() {
        peers.connected().forEach(address -> peers.send(address, ownVersion.get()));
    }

    /** Returns the version that each connected peer has announced. */
    List<PeerVersion> peerVersions() {
        return peers.connected().stream()
                .map(address -> new PeerVersion(
                        address,
                        Optional.ofNullable(announcedVersions.get(address))
                                .map(ConfigKnown::version)
                                .orElse(UNKNOWN_VERSION)))
                .toList();
    }

    /** Returns whether a connected peer has announced a newer configuration. */
    boolean isAnyPeerAhead() {
        long version = ownVersion.get().version();
        return announcedVersions.values().stream().anyMatch(announced -> announced.version() > version);
    }

    /** Returns whether all connected peers have announced their version and at least one peer has a configuration. */
    boolean haveAllPeersReported() {
        List<String> connected = peers.connected();
        return announcedVersions.keySet().containsAll(connected)
                && announcedVersions.values().stream().anyMatch(announced -> announced.version() >= 0);
    }

    @Override
    public void linkUp(String peerAddress, PeerMessage.Hello hello) {
        peers.send(peerAddress, ownVersion.get());
    }

    @Override
    public void linkDown(String peerAddress) {
        announcedVersions.remove(peerAddress);
    }

    @Override
    public void received(String peerAddress, PeerMessage message) {
        switch (message) {
            case ConfigKnown announced -> announcedVersions.put(peerAddress, announced);
            case ConfigWanted wanted -> sendConfig(peerAddress);
            case ConfigState state -> acceptConfig(state);
            default -> {
                // Other roles handle all other messages.
            }
        }
    }

    private void sendConfig(String peerAddress) {
        if (ownVersion.get().version() >= 0) {
            peers.send(peerAddress, new ConfigState(List.of(CODEC.encode(checkpoint.get()))));
        }
    }

    private void acceptConfig(ConfigState state) {
        for (byte[] bytes : state.checkpoint()) {
            try {
                onCheckpoint.accept(CODEC.decode(bytes, "a peer's configuration"));
            } catch (PoplarWharfException malformed) {
                return;
            }
        }
    }
}
