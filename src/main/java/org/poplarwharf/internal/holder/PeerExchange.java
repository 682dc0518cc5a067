package org.poplarwharf.internal.holder;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.poplarwharf.internal.gateway.GatewayServer;
import org.poplarwharf.internal.gateway.GatewaySettings;
import org.poplarwharf.internal.gateway.PeerNode;
import org.poplarwharf.internal.holder.HolderMessage.PeerState;

/**
 * Tells the lease holder whether this node reaches targets, and the gateway which other nodes do.
 *
 * <p>Invariant: a node without an address for requests of other nodes is named to none. Confined to the event loop.
 */
final class PeerExchange {
    private final GatewaySettings settings;
    private final PlatformAdapter adapter;
    private final GatewayServer front;
    private final HolderRole localHolder;
    private final EngineTargetSelector engineTargets;

    PeerExchange(
            GatewaySettings settings,
            PlatformAdapter adapter,
            GatewayServer front,
            HolderRole localHolder,
            EngineTargetSelector engineTargets) {
        this.settings = settings;
        this.adapter = adapter;
        this.front = front;
        this.localHolder = localHolder;
        this.engineTargets = engineTargets;
        front.onCutOffChange(cutOff -> reportOwnState());
    }

    /** Reports the state of this node; to be called at its start, and when it has connected to a holder. */
    void reportOwnState() {
        Optional<PeerState> own = settings.peerRequestAddress()
                .map(address -> new PeerState(
                        settings.nodeId(), adapter.addressFormatter().apply(address), !front.isCutOff()));
        own.ifPresent(localHolder::recordOwnState);
        own.map(HolderMessage::peerMessage).ifPresent(engineTargets::send);
    }

    /** Handles what the holder tells of the nodes that reach targets. */
    void peersReported(List<PeerState> peers) {
        front.replacePeers(peers.stream().map(this::peerNode).toList());
    }

    private PeerNode peerNode(PeerState state) {
        InetSocketAddress address = adapter.addressParser().apply(state.address());
        return new PeerNode(state.nodeId(), address);
    }
}
