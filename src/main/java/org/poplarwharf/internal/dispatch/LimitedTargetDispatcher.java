package org.poplarwharf.internal.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.limit.TargetLimits;

/**
 * Grants targets of services without an engine, to requests whose nodes can't choose by themselves: where a target has
 * named a limit, or where only the holder knows the software version that may run the request. Requests are not queued:
 * these targets' callers wait for about a second, so one without a permit is told at once when to come back.
 *
 * <p>Invariant: each request gets exactly one grant or one refusal. Confined to one thread; the current time is passed
 * with each call.
 */
public final class LimitedTargetDispatcher {
    private final TargetLimits limits;
    private final DispatchActions actions;
    private final Map<String, Grant> grantByKey = new HashMap<>();

    private record Grant(String targetId, long grantedMillis) {}

    public LimitedTargetDispatcher(TargetLimits limits, DispatchActions actions) {
        this.limits = limits;
        this.actions = actions;
    }

    /**
     * Grants a limited target with a permit, one in the zone of the request if possible, or refuses the request. If no
     * target is limited any more, grants one of them.
     */
    public void submit(DispatchRequest request, Collection<Target> targets, long nowMillis) {
        boolean hasLimited = targets.stream().anyMatch(target -> isCandidate(target, request, true));
        Target best = null;
        long minWaitMillis = Long.MAX_VALUE;
        for (Target target : targets) {
            if (!isCandidate(target, request, hasLimited)) {
                continue;
            }
            long waitMillis = limits.waitMillis(target.id(), nowMillis);
            boolean isNearer = waitMillis == minWaitMillis && target.zone().equals(request.zone());
            if (waitMillis < minWaitMillis || isNearer) {
                best = target;
                minWaitMillis = waitMillis;
            }
        }
        if (best == null) {
            actions.refuse(request, "no-target", 0);
        } else if (limits.tryAcquire(best.id(), nowMillis)) {
            grantByKey.put(request.key(), new Grant(best.id(), nowMillis));
            actions.grant(request, best, Optional.empty());
        } else {
            actions.refuse(request, "targets-limited", minWaitMillis);
        }
    }

    private boolean isCandidate(Target target, DispatchRequest request, boolean onlyLimited) {
        return !target.leaving() && request.accepts(target) && (!onlyLimited || limits.isLimited(target.id()));
    }

    /** Records the response to a granted request, or the end of its attempt. */
    public void recordOutcome(String key, RunOutcome outcome) {
        Grant grant = grantByKey.get(key);
        if (grant == null) {
            return;
        }
        if (outcome instanceof RunOutcome.FirstEventReceived) {
            limits.recordResponse(grant.targetId(), grant.grantedMillis());
        } else if (outcome.endsRun()) {
            grantByKey.remove(key);
        }
    }

    /** Ends a request that has completed normally or was withdrawn. */
    public void end(String key) {
        grantByKey.remove(key);
    }
}
