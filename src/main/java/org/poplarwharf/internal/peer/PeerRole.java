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
 * Keeps links to the other nodes, offers {@link Peers} and {@link PeerAddresses}, and adds the nodes that the
 * platform's list of VMs names.
 *
 * <p>Invariant: once a configuration is in force, no target that it names is dialled. Before that the list alone can't
 * tell nodes from targets, and a node must find its peers also while the log is down; a target does not answer with a
 * hello and is left alone. Belongs to the control thread.
 */
public final class PeerRole implements Role {
    private static final long FIRST_LIST_MILLIS = 2_000;
    /** The list carries every VM of the fleet; later nodes make themselves known by dialling. */
    private static final long LIST_MILLIS = 30_000;

    private final NodeContext context;
    private final TcpPeers peers;
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
        this.peers = new TcpPeers(
                context.controlLoop(),
                context.clock(),
                PeerOptions.forBodies(settings.maxBodyBytes()),
                identity,
                context.metrics(),
                settings.nodeId().hashCode() + context.incarnation());
        context.registerService(Peers.class, peers);
        context.registerService(PeerAddresses.class, peers);
    }

    @Override
    public String name() {
        return "peers";
    }

    @Override
    public Promise<Void> start() {
        peers.addSeeds(context.settings().peers());
        peers.onMalformed(this::logMalformed);
        return peers.start().whenResult(this::followList);
    }

    @Override
    public Promise<Void> drain() {
        return Promise.complete();
    }

    @Override
    public Promise<Void> stop() {
        stopped = true;
        return peers.stop();
    }

    private void followList() {
        NodeSettings settings = context.settings();
        Optional<VmList.Factory> factory = context.plugins().find(VmList.Factory.class, settings.vmListProtocol());
        factory.ifPresent(f -> readList(f.create(context.controlLoop(), settings.vmListAddress())));
    }

    private void readList(VmList list) {
        if (stopped) {
            return;
        }
        list.list().whenComplete((vms, e) -> {
            if (e == null) {
                peers.listed(vms.stream()
                        .filter(this::mayBeOtherNode)
                        .map(VmList.Vm::address)
                        .collect(Collectors.toSet()));
            }
            boolean knowsOthers = !peers.connected().isEmpty();
            context.controlLoop().delayBackground(knowsOthers ? LIST_MILLIS : FIRST_LIST_MILLIS, () -> readList(list));
        });
    }

    private boolean mayBeOtherNode(VmList.Vm vm) {
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
