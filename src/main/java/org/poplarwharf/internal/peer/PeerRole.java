package org.poplarwharf.internal.peer;

import io.activej.promise.Promise;
import java.util.Optional;
import java.util.stream.Collectors;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.config.ConfigView;
import org.poplarwharf.internal.kernel.NodeContext;
import org.poplarwharf.internal.kernel.NodeLog;
import org.poplarwharf.internal.kernel.NodeLogEvent;
import org.poplarwharf.internal.kernel.NodeSettings;
import org.poplarwharf.internal.kernel.Role;
import org.poplarwharf.plugins.VmList;

/**
 * Maintains the connections to the other nodes, offers {@link PeerNetwork} and {@link PeerAddressRegistry}, and adds
 * the nodes in the platform's VM list.
 *
 * <p>Invariant: once a configuration is active, no target in it is dialed. Before that, the VM list alone doesn't
 * distinguish nodes from targets, but a node must find its peers even while the log is down. A target doesn't
 * respond with a hello message, so it is not dialed again for a while. Confined to the control thread.
 */
public final class PeerRole implements Role {
    private static final long DISCONNECTED_POLL_INTERVAL_MILLIS = 2_000;
    /**
     * The interval once a peer is connected. It is long because the list contains every VM of the fleet, and nodes that
     * start later connect to this one by themselves.
     */
    private static final long POLL_INTERVAL_MILLIS = 30_000;

    private final NodeContext context;
    private final TcpPeerNetwork peerNetwork;
    private boolean stopped;

    public PeerRole(NodeContext context) {
        this.context = context;
        NodeSettings settings = context.settings();
        PeerIdentity identity = new PeerIdentity(
                settings.nodeId(),
                context.incarnation(),
                settings.zone(),
                settings.peerAddress(),
                settings.peerAdvertiseAddress());
        this.peerNetwork = new TcpPeerNetwork(
                context.controlLoop(),
                context.clock(),
                PeerOptions.forBodies(settings.maxBodyBytes()),
                identity,
                context.metrics(),
                settings.nodeId().hashCode() + context.incarnation());
        context.registerService(PeerNetwork.class, peerNetwork);
        context.registerService(PeerAddressRegistry.class, peerNetwork);
    }

    @Override
    public String name() {
        return "peers";
    }

    @Override
    public Promise<Void> start() {
        peerNetwork.addSeeds(context.settings().peers());
        peerNetwork.addMalformedFrameListener(this::logMalformed);
        return peerNetwork.start().whenResult(this::startPollingVmList);
    }

    @Override
    public Promise<Void> drain() {
        return Promise.complete();
    }

    @Override
    public Promise<Void> stop() {
        stopped = true;
        return peerNetwork.stop();
    }

    private void startPollingVmList() {
        NodeSettings settings = context.settings();
        Optional<VmList.Factory> factory = context.plugins().find(VmList.Factory.class, settings.vmListProtocol());
        factory.ifPresent(f -> pollVmList(f.create(context.controlLoop(), settings.vmListAddress())));
    }

    private void pollVmList(VmList list) {
        if (stopped) {
            return;
        }
        list.list().whenComplete((vms, e) -> {
            if (e == null) {
                peerNetwork.updateVmList(vms.stream()
                        .filter(this::mayBePeer)
                        .map(VmList.Vm::address)
                        .collect(Collectors.toSet()));
            }
            boolean isConnected = !peerNetwork.connectedAddresses().isEmpty();
            context.controlLoop()
                    .delayBackground(
                            isConnected ? POLL_INTERVAL_MILLIS : DISCONNECTED_POLL_INTERVAL_MILLIS,
                            () -> pollVmList(list));
        });
    }

    private boolean mayBePeer(VmList.Vm vm) {
        boolean isTarget = context.findService(ConfigView.class)
                .map(view -> view.current().target(vm.name()).isPresent())
                .orElse(false);
        return !isTarget && !vm.name().equals(context.settings().nodeId());
    }

    private void logMalformed(PoplarWharfException failure) {
        context.findService(NodeLog.class)
                .ifPresent(log -> log.logFailure(NodeLogEvent.PEER_MALFORMED_FRAME, failure.code(), name(), failure));
    }
}
