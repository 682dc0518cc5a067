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
 * Announces the configuration version of this node to its peers and fetches newer configurations from them.
 *
 * <p>Invariant: a received checkpoint goes only to the fold, which accepts it only if it is newer. Confined to the
 * control thread.
 */
final class PeerConfigSync implements PeerNetwork.Listener {
    private static final MessagePackCodec<ConfigRecord> CODEC = new MessagePackCodec<>(ConfigRecord.class);

    private static final long UNKNOWN_VERSION = -1;

    private final PeerNetwork peers;
    private final Supplier<ConfigVersion> ownVersion;
    private final Supplier<ConfigRecord> checkpoint;
    private final Consumer<ConfigRecord> onCheckpoint;
    private final Map<String, ConfigVersion> announcedVersions = new HashMap<>();
    private final Set<String> peersAhead = new HashSet<>();

    PeerConfigSync(
            PeerNetwork peers,
            Supplier<ConfigVersion> ownVersion,
            Supplier<ConfigRecord> checkpoint,
            Consumer<ConfigRecord> onCheckpoint) {
        this.peers = peers;
        this.ownVersion = ownVersion;
        this.checkpoint = checkpoint;
        this.onCheckpoint = onCheckpoint;
        peers.addListener(this);
    }

    /** Requests the configuration of a peer that was already ahead at the previous call and still is. */
    void requestNewerConfig() {
        Set<String> peersStillAhead = new HashSet<>();
        announcedVersions.forEach((address, announced) -> {
            if (announced.version() > ownVersion.get().version()) {
                peersStillAhead.add(address);
            }
        });
        Optional<String> peerAhead =
                peersStillAhead.stream().filter(peersAhead::contains).findFirst();
        peerAhead.ifPresent(address -> peers.send(address, new ConfigRequest()));
        peersAhead.clear();
        peersAhead.addAll(peersStillAhead);
    }

    /**
     * Sends the version of this node to all connected peers. Call this when the version changes. No repeats are needed:
     * a new connection gets the version when it is opened, and an open connection loses no messages.
     */
    void announceVersion() {
        peers.connectedAddresses().forEach(address -> peers.send(address, ownVersion.get()));
    }

    /** Returns the version that each connected peer has announced. */
    List<PeerVersion> peerVersions() {
        return peers.connectedAddresses().stream()
                .map(address -> new PeerVersion(
                        address,
                        Optional.ofNullable(announcedVersions.get(address))
                                .map(ConfigVersion::version)
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
        List<String> connected = peers.connectedAddresses();
        return announcedVersions.keySet().containsAll(connected)
                && announcedVersions.values().stream().anyMatch(announced -> announced.version() >= 0);
    }

    @Override
    public void onConnected(String peerAddress, PeerMessage.Hello hello) {
        peers.send(peerAddress, ownVersion.get());
    }

    @Override
    public void onDisconnected(String peerAddress) {
        announcedVersions.remove(peerAddress);
    }

    @Override
    public void onMessage(String peerAddress, PeerMessage message) {
        switch (message) {
            case ConfigVersion announced -> announcedVersions.put(peerAddress, announced);
            case ConfigRequest wanted -> sendConfig(peerAddress);
            case ConfigCheckpoint state -> acceptConfig(state);
            default -> {
                // Other roles handle all other messages.
            }
        }
    }

    private void sendConfig(String peerAddress) {
        if (ownVersion.get().version() >= 0) {
            peers.send(peerAddress, new ConfigCheckpoint(List.of(CODEC.encode(checkpoint.get()))));
        }
    }

    private void acceptConfig(ConfigCheckpoint state) {
        for (byte[] bytes : state.checkpoint()) {
            try {
                onCheckpoint.accept(CODEC.decode(bytes, "a peer's configuration"));
            } catch (PoplarWharfException malformed) {
                return;
            }
        }
    }
}
