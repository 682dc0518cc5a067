package org.poplarwharf.internal.gateway;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.poplarwharf.internal.fleet.FleetPlan;
import org.poplarwharf.internal.fleet.Target;

/**
 * What this node knows of the deployment: the operator's plan and the targets.
 *
 * <p>Invariant: the plan's version never falls. Confined to the event loop.
 */
public final class FleetView {
    private Optional<FleetPlan> plan = Optional.empty();
    private final Map<String, Target> targets = new LinkedHashMap<>();
    private final List<Runnable> listeners = new ArrayList<>();
    private final List<Consumer<Target>> goneListeners = new ArrayList<>();
    private boolean targetsKnown;

    /** Calls back after each change. */
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }

    /** Calls back with each incarnation that has ended. */
    public void onGone(Consumer<Target> listener) {
        goneListeners.add(listener);
    }

    /** Puts a plan in force; an older one than is in force is passed over. */
    public boolean apply(FleetPlan latest) {
        if (plan.isPresent() && plan.get().version() >= latest.version()) {
            return false;
        }
        plan = Optional.of(latest);
        changed();
        return true;
    }

    public void put(Target target) {
        Target before = targets.put(target.id(), target);
        if (before != null && !before.isSameIncarnation(target)) {
            goneListeners.forEach(listener -> listener.accept(before));
        }
        changed();
    }

    public void remove(String targetId) {
        Target before = targets.remove(targetId);
        if (before != null) {
            goneListeners.forEach(listener -> listener.accept(before));
            changed();
        }
    }

    /** All targets that the platform knew of have been put. */
    public void targetsKnown() {
        targetsKnown = true;
        changed();
    }

    /** Tells whether requests can be handled. */
    public boolean complete() {
        return plan.isPresent() && targetsKnown;
    }

    public Optional<FleetPlan> plan() {
        return plan;
    }

    public Optional<Target> target(String id) {
        return Optional.ofNullable(targets.get(id));
    }

    /** Returns the targets of a service. */
    public List<Target> targetsOf(String service) {
        List<Target> found = new ArrayList<>();
        for (Target target : targets.values()) {
            if (target.service().equals(service)) {
                found.add(target);
            }
        }
        return found;
    }

    private void changed() {
        listeners.forEach(Runnable::run);
    }
}
