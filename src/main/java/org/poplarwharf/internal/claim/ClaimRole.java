package org.poplarwharf.internal.claim;

import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.time.Duration;
import java.util.List;
import org.poplarwharf.internal.cell.CellView;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.kernel.NodeContext;
import org.poplarwharf.internal.kernel.NodeSettings;
import org.poplarwharf.internal.kernel.Role;
import org.poplarwharf.internal.peer.PeerNetwork;
import org.poplarwharf.internal.place.AdmissionClient;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.plugins.EngineDialect;

/**
 * Provides {@link ClaimService} and runs the calls that other nodes forward. Draining completes once no call is in
 * progress. Confined to the control thread.
 */
public final class ClaimRole implements Role {
    private static final Duration DRAIN_POLL_INTERVAL = Duration.ofMillis(50);

    private final NodeContext context;
    private ClaimService service;

    public ClaimRole(NodeContext context) {
        this.context = context;
    }

    @Override
    public String name() {
        return "claims";
    }

    @Override
    public Promise<Void> start() {
        NodeSettings settings = context.settings();
        EngineDialect.Factory dialect = context.plugins()
                .find(EngineDialect.Factory.class, settings.engineDialect())
                .orElseThrow(() -> Reporter.settingsInvalid(
                        List.of("There is no engine dialect named " + settings.engineDialect() + ".")));
        CellView cells = context.findService(CellView.class).orElseThrow();
        PeerNetwork peers = context.findService(PeerNetwork.class).orElseThrow();
        HttpCallDispatcher dispatcher = new HttpCallDispatcher(
                context.controlLoop(), context.trafficLoops().get(0), dialect, settings.maxBodyBytes());
        CellRecord.Author self = new CellRecord.Author(settings.nodeId(), context.incarnation());
        service = new ClaimService(
                context.controlLoop(),
                context.clock(),
                cells,
                () -> context.findService(AdmissionClient.class),
                dispatcher,
                self,
                settings.idempotencyKeyTtlMillis());
        service.start();
        new PeerCallListener(service, peers);
        context.registerService(ClaimService.class, service);
        return Promise.complete();
    }

    @Override
    public Promise<Void> drain() {
        return service.isIdle()
                ? Promise.complete()
                : Promises.delay(DRAIN_POLL_INTERVAL).then(this::drain);
    }

    @Override
    public Promise<Void> stop() {
        service.stop();
        return Promise.complete();
    }
}
