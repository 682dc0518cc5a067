package org.poplarwharf.internal.place;

import io.activej.promise.Promise;
import java.util.List;
import org.poplarwharf.internal.cell.CellView;
import org.poplarwharf.internal.config.ConfigView;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.internal.kernel.NodeContext;
import org.poplarwharf.internal.kernel.Role;
import org.poplarwharf.internal.peer.Peers;

/**
 * Offers {@link PlaceSource} and answers other nodes' wishes for places. Belongs to the control thread.
 */
public final class PlaceRole implements Role {
    private final NodeContext context;

    public PlaceRole(NodeContext context) {
        this.context = context;
    }

    @Override
    public String name() {
        return "places";
    }

    @Override
    public Promise<Void> start() {
        CellView cells = context.findService(CellView.class).orElseThrow();
        Peers peers = context.findService(Peers.class).orElseThrow();
        new PlaceServer(cells, peers, this::cellNames);
        String nodeId = context.settings().nodeId();
        context.registerService(
                PlaceSource.class,
                new PlaceDesk(context.controlLoop(), context.clock(), cells, peers, nodeId, context.incarnation()));
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
