package org.poplarwharf.internal.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.poplarwharf.internal.fleet.FleetPlan;
import org.poplarwharf.internal.fleet.Target;

/**
 * This node's view of the deployment: the operator's plan and the known targets.
 *
 * <p>Invariants: the plan's version never decreases. An incarnation that has stated that it leaves never stops leaving.
 * Confined to the event loop.
 */
public final class FleetView {
    private static final int MAX_LEAVING_COUNT = 1_000;

    private Optional<FleetPlan> plan = Optional.empty();
    private final Map<String, Target> targets = new LinkedHashMap<>();
    private final List<Runnable> listeners = new ArrayList<>();
    private final List<Runnable> loadListeners = new ArrayList<>();
    private final List<Consumer<Target>> removalListeners = new ArrayList<>();
    /** The incarnations that have stated that they leave, also those that are no longer known. */
    private final Map<String, Target> leavingById = new LinkedHashMap<>();

    private boolean planReachable = true;
    private long planReadMillis;
    private boolean targetsLoaded;
    private boolean targetsCurrent = true;

    /** Registers a listener that is called after each change of the plan or the targets. */
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }

    /** Registers a listener that is called with each target that was removed or restarted. */
    public void onRemoval(Consumer<Target> listener) {
        removalListeners.add(listener);
    }

    /** Registers a listener that is called each time that all targets have been loaded from the platform's log. */
    public void onTargetsLoaded(Runnable listener) {
        loadListeners.add(listener);
    }

    /** Applies a plan and returns true, or returns false if the current plan has the same or a newer version. */
    public boolean apply(FleetPlan latest) {
        if (plan.isPresent() && plan.get().version() >= latest.version()) {
            return false;
        }
        plan = Optional.of(latest);
        notifyChange();
        return true;
    }

    /**
     * Records that an incarnation of a target states that it leaves; none of its entries takes that back.
     *
     * @return whether it was not known to leave
     */
    public boolean markLeaving(Target target) {
        Optional<Target> known = target(target.id()).filter(target::isSameIncarnation);
        if (known.isEmpty() || known.get().leaving()) {
            return false;
        }
        leavingById.remove(target.id());
        leavingById.put(target.id(), known.get());
        if (leavingById.size() > MAX_LEAVING_COUNT) {
            leavingById.remove(leavingById.keySet().iterator().next());
        }
        put(known.get());
        return true;
    }

    /** Returns the known targets that have stated that they leave. */
    public List<Target> statedLeaving() {
        return leavingById.keySet().stream()
                .flatMap(id -> target(id).stream())
                .filter(Target::leaving)
                .toList();
    }

    private Target withStatement(Target target) {
        Target leaving = leavingById.get(target.id());
        return leaving != null && leaving.isSameIncarnation(target) ? target.asLeaving() : target;
    }

    public void put(Target latest) {
        Target target = withStatement(latest);
        Target previous = targets.put(target.id(), target);
        if (previous != null && !previous.isSameIncarnation(target)) {
            removalListeners.forEach(listener -> listener.accept(previous));
        }
        notifyChange();
    }

    public void remove(String targetId) {
        Target previous = targets.remove(targetId);
        if (previous != null) {
            removalListeners.forEach(listener -> listener.accept(previous));
            notifyChange();
        }
    }

    /** Marks a load of all targets from the platform's log as complete. */
    public void targetsLoaded() {
        targetsLoaded = true;
        loadListeners.forEach(Runnable::run);
        notifyChange();
    }

    /** Returns whether a plan and the targets are known, so that requests can be handled. */
    public boolean isComplete() {
        return plan.isPresent() && targetsLoaded;
    }

    public Optional<FleetPlan> plan() {
        return plan;
    }

    public Optional<Target> target(String id) {
        return Optional.ofNullable(targets.get(id));
    }

    /** Returns the targets of all services that the plan names. */
    Collection<Target> targets() {
        return targets.values().stream()
                .filter(target -> plan.isPresent() && plan.get().services().containsKey(target.service()))
                .toList();
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

    /** Records whether the platform's log, and so the latest plan, can be read. */
    public void setPlanReachable(boolean reachable) {
        planReachable = reachable;
    }

    /** Records that the plan was the latest at this time. */
    public void recordPlanRead(long nowMillis) {
        planReadMillis = nowMillis;
    }

    /** Returns whether this node reads the latest plan, as far as it knows. */
    public boolean isPlanReachable() {
        return planReachable;
    }

    /** Returns for how long this node has not been able to read the latest plan; zero if it can. */
    public long planUnreachableMillis(long nowMillis) {
        return planReachable ? 0 : nowMillis - planReadMillis;
    }

    /** Records whether the list of targets is kept up to date, that is, whether the platform's log can be read. */
    public void setTargetsCurrent(boolean current) {
        targetsCurrent = current;
    }

    /** Returns the software versions of the targets of a service; empty if the list of targets may be out of date. */
    public Optional<Set<String>> softwareVersionsOf(String service) {
        if (!targetsCurrent || !targetsLoaded) {
            return Optional.empty();
        }
        Set<String> versions = new HashSet<>();
        targetsOf(service).forEach(target -> versions.add(target.softwareVersion()));
        return Optional.of(versions);
    }

    private void notifyChange() {
        listeners.forEach(Runnable::run);
    }
}
