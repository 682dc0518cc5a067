package org.poplarwharf.internal.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.poplarwharf.internal.dispatch.DispatchRequest;
import org.poplarwharf.internal.dispatch.FailureBackoff;
import org.poplarwharf.internal.dispatch.RunOutcome;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.limit.TargetLimits;

/**
 * Selects the target with the lowest estimated cost for requests to services without an engine. The estimate uses only
 * what this node has observed: response times, failures, its own requests in flight, and whether the target is in the
 * same zone. A target that has named a limit is used only with a permit from the lease holder, through the selector for
 * engines.
 *
 * <p>Assumes short calls at a load far below the targets' capacity, where a target is occasionally slow, fails a part
 * of its requests or hangs. Confined to the event loop.
 */
final class LowestCostTargetSelector implements TargetSelector {
    /** The expected response time of a target without observations, close to that of typical lookups. */
    private static final double EXPECTED_RESPONSE_MILLIS = 20;

    /** The cost of sending a request to another zone. */
    private static final double OTHER_ZONE_PENALTY_MILLIS = 15;

    private static final double NEW_SAMPLE_RATIO = 0.25;

    /**
     * The time constant by which the extra response time of a slow target decays exponentially, so that it is tried
     * again.
     */
    private static final double DECAY_MILLIS = 5_000;

    private static final double FAILURE_PENALTY_MILLIS = 150;
    private static final long MIN_BACKOFF_MILLIS = 800;
    private static final long MAX_BACKOFF_MILLIS = 6_000;

    /** The cost of a target that has named a limit a short time ago. */
    private static final double LIMITED_COST_MILLIS = 300;

    /** Targets come back within seconds, and a caller has about one second. */
    private static final long RETRY_AFTER_MILLIS = 250;

    private final FleetView view;
    private final MonotonicClock clock;
    private final TargetLimits limits;
    private final TargetSelector holderSelector;
    private final Map<String, TargetStats> statsByTarget = new HashMap<>();
    private final Map<String, String> targetIdByKey = new HashMap<>();

    private static final class TargetStats {
        private double extraMillis;
        private long updatedMillis;
        private int inFlightCount;
        private final FailureBackoff backoff = new FailureBackoff(MIN_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS);

        double extraMillis(long nowMillis) {
            return extraMillis * Math.exp(-(nowMillis - updatedMillis) / DECAY_MILLIS);
        }
    }

    LowestCostTargetSelector(FleetView view, MonotonicClock clock, TargetLimits limits, TargetSelector holderSelector) {
        this.view = view;
        this.clock = clock;
        this.limits = limits;
        this.holderSelector = holderSelector;
        view.onRemoval(target -> statsByTarget.remove(target.id()));
    }

    @Override
    public void select(DispatchRequest request, Callback callback) {
        if (request.hasUnknownStreamOrigin()) {
            holderSelector.select(request, new PermitCallback(request, callback));
            return;
        }
        Optional<Target> best = cheapest(request, true);
        if (best.isEmpty()) {
            callback.onRejected("no-target", RETRY_AFTER_MILLIS);
        } else if (limits.isLimited(best.get().id())) {
            holderSelector.select(request, new PermitCallback(request, callback));
        } else {
            assign(request, best.get(), callback, "nearest");
        }
    }

    /** Returns the target with the lowest cost, among all or among those that have named no limit. */
    private Optional<Target> cheapest(DispatchRequest request, boolean withLimited) {
        long nowMillis = clock.nowMillis();
        Target best = null;
        double bestCost = Double.MAX_VALUE;
        for (Target target : view.targetsOf(request.service())) {
            if (target.leaving() || !request.accepts(target) || (!withLimited && limits.isLimited(target.id()))) {
                continue;
            }
            double cost = cost(target, request, nowMillis);
            if (cost < bestCost) {
                best = target;
                bestCost = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    private void assign(DispatchRequest request, Target target, Callback callback, String by) {
        TargetStats stats = statsByTarget.computeIfAbsent(target.id(), id -> new TargetStats());
        stats.inFlightCount++;
        targetIdByKey.put(request.key(), target.id());
        callback.onSelected(target, Optional.empty(), by);
    }

    /** Uses the target that the holder has granted or, without a permit, one that has named no limit. */
    private final class PermitCallback implements Callback {
        private final DispatchRequest request;
        private final Callback callback;

        PermitCallback(DispatchRequest request, Callback callback) {
            this.request = request;
            this.callback = callback;
        }

        @Override
        public void onSelected(Target target, Optional<Target> backup, String by) {
            assign(request, target, callback, by);
        }

        @Override
        public void onRejected(String reason, long retryAfterMillis) {
            cheapest(request, false)
                    .ifPresentOrElse(
                            target -> assign(request, target, callback, "nearest"),
                            () -> callback.onRejected(reason, retryAfterMillis));
        }
    }

    private double cost(Target target, DispatchRequest request, long nowMillis) {
        double cost = EXPECTED_RESPONSE_MILLIS + (target.zone().equals(request.zone()) ? 0 : OTHER_ZONE_PENALTY_MILLIS);
        // Breaks ties, so that the nodes of different zones without a target of their own choose different targets.
        cost += Math.floorMod((target.id() + request.zone()).hashCode(), 100) / 100.0;
        TargetStats stats = statsByTarget.get(target.id());
        cost += limits.prefersOthers(target.id(), nowMillis) ? LIMITED_COST_MILLIS : 0;
        if (stats == null) {
            return cost;
        }
        cost += stats.extraMillis(nowMillis)
                + stats.inFlightCount * EXPECTED_RESPONSE_MILLIS / Math.max(1, target.slots() / 2);
        long backoffMillis = stats.backoff.remainingMillis(nowMillis);
        if (backoffMillis > 0) {
            cost += 1_000 + backoffMillis;
        }
        return cost;
    }

    @Override
    public void cancel(String key) {
        holderSelector.cancel(key);
        reportEnd(key, false);
    }

    @Override
    public void reportLeaving(Target target) {
        holderSelector.reportLeaving(target);
    }

    @Override
    public void reportLimit(String targetId, double requestsPerSecond) {
        holderSelector.reportLimit(targetId, requestsPerSecond);
    }

    @Override
    public void reportOutcome(String key, RunOutcome outcome) {
        holderSelector.reportOutcome(key, outcome);
        TargetStats stats = statsByTarget.get(targetIdByKey.get(key));
        if (stats == null) {
            targetIdByKey.remove(key);
            return;
        }
        long nowMillis = clock.nowMillis();
        switch (outcome) {
            case RunOutcome.FirstEventReceived answered -> {
                stats.backoff.recordSuccess();
                addSample(stats, Math.max(0, answered.firstEventMillis() - EXPECTED_RESPONSE_MILLIS), nowMillis);
                return;
            }
            case RunOutcome.LatePause late -> {
                return;
            }
            case RunOutcome.Declined declined -> addSample(stats, FAILURE_PENALTY_MILLIS, nowMillis);
            case RunOutcome.ConnectionFailed broken -> {
                addSample(stats, FAILURE_PENALTY_MILLIS, nowMillis);
                stats.backoff.recordFailure(nowMillis);
            }
            case RunOutcome.Abandoned abandoned -> {
                // Carries no information about the target.
            }
        }
        reportEnd(key, false);
    }

    @Override
    public void reportEnd(String key, boolean successful) {
        holderSelector.reportEnd(key, successful);
        TargetStats stats = statsByTarget.get(targetIdByKey.remove(key));
        if (stats != null) {
            stats.inFlightCount--;
        }
    }

    private static void addSample(TargetStats stats, double extraMillis, long nowMillis) {
        stats.extraMillis = stats.extraMillis(nowMillis) * (1 - NEW_SAMPLE_RATIO) + extraMillis * NEW_SAMPLE_RATIO;
        stats.updatedMillis = nowMillis;
    }
}
