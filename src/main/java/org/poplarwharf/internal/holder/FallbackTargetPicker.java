package org.poplarwharf.internal.holder;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToLongFunction;
import org.poplarwharf.internal.dispatch.DispatchRequest;
import org.poplarwharf.internal.dispatch.TargetSpeeds;
import org.poplarwharf.internal.fleet.RequestTraits;
import org.poplarwharf.internal.fleet.RoutedService;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.gateway.FleetView;
import org.poplarwharf.internal.limit.TargetLimits;

/**
 * Picks targets for a node without a holder, of engines among those whose entries list the requested model and adapter. Other
 * services have no models, whatever requests name. Confined to the event loop.
 *
 * <p>Invariant: a target that has named a limit is not picked, since only the holder issues permits for it.
 */
final class FallbackTargetPicker {
    /** Backoff after a broken connection; about as long as a crashed target is still listed. */
    private static final long BACKOFF_MILLIS = 2_000;

    private static final long RUN_COST = 2;
    private static final long OTHER_ZONE_COST = 1;

    private final FleetView view;
    private final TargetLimits limits;
    private final TargetSpeeds speeds;
    private final Map<String, Long> backoffUntilMillis = new HashMap<>();

    FallbackTargetPicker(FleetView view, TargetLimits limits, TargetSpeeds speeds) {
        this.view = view;
        this.limits = limits;
        this.speeds = speeds;
    }

    /** Returns the target with the fewest runs of this node for its speed, preferably in the request's zone and without a backoff. */
    Optional<Target> pick(DispatchRequest request, ToLongFunction<String> runCountByTarget, long nowMillis) {
        Target best = null;
        double bestCost = Double.MAX_VALUE;
        boolean runsEngine = runsEngine(request.service());
        for (Target target : view.targetsOf(request.service())) {
            if (target.leaving()
                    || !request.accepts(target)
                    || limits.isLimited(target.id())
                    || (runsEngine && !hasLoaded(target, request.traits()))) {
                continue;
            }
            double slowness = speeds.slowness(target, nowMillis);
            double cost = ((runCountByTarget.applyAsLong(target.id()) + 1) * slowness - 1) * RUN_COST
                    + (target.zone().equals(request.zone()) ? 0 : OTHER_ZONE_COST)
                    + (backoffUntilMillis.getOrDefault(target.id(), 0L) > nowMillis ? BACKOFF_MILLIS : 0);
            if (cost < bestCost) {
                best = target;
                bestCost = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    void recordFailure(String targetId, long nowMillis) {
        backoffUntilMillis.put(targetId, nowMillis + BACKOFF_MILLIS);
    }

    void recordSuccess(String targetId) {
        backoffUntilMillis.remove(targetId);
    }

    private boolean runsEngine(String service) {
        return view.plan()
                .map(plan -> plan.services().get(service))
                .flatMap(RoutedService::engine)
                .isPresent();
    }

    private static boolean hasLoaded(Target target, RequestTraits traits) {
        if (traits.model().isEmpty()) {
            return true;
        }
        return target.models().stream()
                .anyMatch(model -> model.name().equals(traits.model().get())
                        && (traits.adapter().isEmpty()
                                || model.adapters().contains(traits.adapter().get())));
    }
}
