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
 * Offers the {@link AdmissionFactory} and drives the clock of every admission that it made.
 *
 * <p>Belongs to the control thread.
 */
final class AdmissionRole implements Role, AdmissionFactory {
    static final String NAME = "admission";

    private static final long TICK_MILLIS = 20;

    private final NodeContext context;
    private final List<CellAdmission> admissions = new ArrayList<>();
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
        context.registerService(AdmissionFactory.class, this);
        tick();
        return Promise.complete();
    }

    private ReplicaSelector.Factory selectorFactory() {
        String name = context.settings().replicaSelector();
        Optional<ReplicaSelector.Factory> factory = context.plugins().find(ReplicaSelector.Factory.class, name);
        return factory.orElseThrow(() -> Reporter.failure(
                FailureCode.SETTINGS_INVALID,
                "No routing policy is called " + name + ".",
                "The setting names a plug-in that is not on the class path.",
                "Use one of " + context.plugins().names(ReplicaSelector.Factory.class) + ".",
                null));
    }

    @Override
    public Admission create(String cell, Replicas replicas, CellStateView state) {
        Supplier<FleetConfig> config = () ->
                context.findService(ConfigView.class).map(ConfigView::current).orElse(FleetConfig.EMPTY);
        ReplicaSelector selector = selectorFactory().create(context.incarnation());
        CellAdmission admission = new CellAdmission(cell, replicas, state, config, selector, context.clock());
        admissions.add(admission);
        return admission;
    }

    private void tick() {
        if (stopped) {
            return;
        }
        admissions.removeIf(CellAdmission::closed);
        admissions.forEach(CellAdmission::tick);
        context.controlLoop().delayBackground(TICK_MILLIS, this::tick);
    }

    @Override
    public Promise<Void> drain() {
        return Promise.complete();
    }

    @Override
    public Promise<Void> stop() {
        stopped = true;
        admissions.forEach(CellAdmission::close);
        return Promise.complete();
    }
}
