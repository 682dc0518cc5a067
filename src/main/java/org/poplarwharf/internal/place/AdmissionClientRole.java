package org.poplarwharf.internal.place;

import io.activej.promise.Promise;
import java.util.List;
import org.poplarwharf.internal.cell.CellView;
import org.poplarwharf.internal.config.ConfigView;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.internal.kernel.NodeContext;
import org.poplarwharf.internal.kernel.Role;
import org.poplarwharf.internal.peer.PeerNetwork;

/**
 * Provides the {@link AdmissionClient} and serves admission requests from other nodes. Confined to the control
 * thread.
 */
public final class AdmissionClientRole implements Role {
    private final NodeContext context;

    public AdmissionClientRole(NodeContext context) {
        this.context = context;
    }

    @Override
    public String name() {
        return "places";
    }

    @Override
    public Promise<Void> start() {
        CellView cells = context.findService(CellView.class).orElseThrow();
        PeerNetwork peers = context.findService(PeerNetwork.class).orElseThrow();
        new AdmissionServer(cells, peers, this::cellNames);
        String nodeId = context.settings().nodeId();
        context.registerService(
                AdmissionClient.class,
                new CellAdmissionClient(
                        context.controlLoop(), context.clock(), cells, peers, nodeId, context.incarnation()));
        return Promise.complete();
    }

    private List<String> cellNames() {
        return context.findService(ConfigView.class).map(ConfigView::current).orElse(FleetConfig.EMPTY).cells().stream()
                .map(FleetConfig.CellSpec::name)
                .toList();
    }

    @Override
    public Promise<Void> drain() {
        return Promise.complete();
    }

    @Override
    public Promise<Void> stop() {
        return Promise.complete();
    }
}
