package org.poplarwharf.internal.admission;

import io.activej.promise.Promise;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.poplarwharf.FailureCode;
import org.poplarwharf.internal.config.ConfigView;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.kernel.NodeContext;
import org.poplarwharf.internal.kernel.Role;
import org.poplarwharf.internal.state.CellStateView;
import org.poplarwharf.plugins.ReplicaSelector;

/**
 * Provides the {@link AdmissionControllerFactory} and periodically calls {@link CellAdmissionController#tick} on
 * every open controller.
 *
 * <p>Confined to the control thread.
 */
final class AdmissionRole implements Role, AdmissionControllerFactory {
    static final String NAME = "admission";

    private static final long TICK_INTERVAL_MILLIS = 20;

    private final NodeContext context;
    private final List<CellAdmissionController> controllers = new ArrayList<>();
    private boolean stopped;

    AdmissionRole(NodeContext context) {
        this.context = context;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Promise<Void> start() {
        selectorFactory();
        context.registerService(AdmissionControllerFactory.class, this);
        tick();
        return Promise.complete();
    }

    private ReplicaSelector.Factory selectorFactory() {
        String policyName = context.settings().replicaSelector();
        Optional<ReplicaSelector.Factory> factory = context.plugins().find(ReplicaSelector.Factory.class, policyName);
        return factory.orElseThrow(() -> Reporter.failure(
                FailureCode.SETTINGS_INVALID,
                "Unknown routing policy: " + policyName + ".",
                "No plug-in on the class path registers this policy.",
                "Use one of " + context.plugins().names(ReplicaSelector.Factory.class) + ".",
                null));
    }

    @Override
    public AdmissionController create(String cell, ReplicaPool replicas, CellStateView state) {
        Supplier<FleetConfig> config = () ->
                context.findService(ConfigView.class).map(ConfigView::current).orElse(FleetConfig.EMPTY);
        ReplicaSelector selector = selectorFactory().create(context.incarnation());
        CellAdmissionController controller =
                new CellAdmissionController(cell, replicas, state, config, selector, context.clock());
        controllers.add(controller);
        return controller;
    }

    private void tick() {
        if (stopped) {
            return;
        }
        controllers.removeIf(CellAdmissionController::isClosed);
        controllers.forEach(CellAdmissionController::tick);
        context.controlLoop().delayBackground(TICK_INTERVAL_MILLIS, this::tick);
    }

    @Override
    public Promise<Void> drain() {
        return Promise.complete();
    }

    @Override
    public Promise<Void> stop() {
        stopped = true;
        controllers.forEach(CellAdmissionController::close);
        return Promise.complete();
    }
}
