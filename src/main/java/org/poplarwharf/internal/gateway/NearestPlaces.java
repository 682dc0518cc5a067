package org.poplarwharf.internal.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.poplarwharf.internal.dispatch.DispatchRequest;
import org.poplarwharf.internal.dispatch.FailureBackoff;
import org.poplarwharf.internal.dispatch.RunOutcome;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.kernel.MonotonicClock;

/**
 * Places requests to plain services by what this node has seen itself: answer times, failures, its own requests under
 * way, and the way to the target.
 *
 * <p>Answers this load: short calls, far below what the targets can take, with now and then a target that is slow, fails
 * part of its requests, or hangs. Confined to the event loop.
 */
final class NearestPlaces implements Places {
    /** The time that a call is expected to take before anything has been seen; the order of today's lookups. */
    private static final double FIRST_GUESS_MILLIS = 20;

    /** What it is worth to stay within a zone. */
    private static final double OTHER_ZONE_MILLIS = 15;

    private static final double NEW_WEIGHT = 0.25;

    /** Half of what was seen of a slow target is forgotten in about this time, so that it is tried again. */
    private static final double FADE_MILLIS = 5_000;

    private static final double MILLIS_PER_FAILURE = 150;
    private static final long FIRST_SUSPICION_MILLIS = 800;
    private static final long LONGEST_SUSPICION_MILLIS = 6_000;

    /** Targets come back within seconds; a caller has about a second. */
    private static final long RETRY_AFTER_MILLIS = 250;

    private final FleetView view;
    private final MonotonicClock clock;
    private final Map<String, Seen> seenByTarget = new HashMap<>();
    private final Map<String, String> targetIdByKey = new HashMap<>();

    private static final class Seen {
        private double extraMillis;
        private long atMillis;
        private int underWay;
        private final FailureBackoff suspicion = new FailureBackoff(FIRST_SUSPICION_MILLIS, LONGEST_SUSPICION_MILLIS);

        double extraMillis(long nowMillis) {
            return extraMillis * Math.exp(-(nowMillis - atMillis) / FADE_MILLIS);
        }
    }

    NearestPlaces(FleetView view, MonotonicClock clock) {
        this.view = view;
        this.clock = clock;
        view.onGone(target -> seenByTarget.remove(target.id()));
    }

    @Override
    public void seek(DispatchRequest wish, Asker asker) {
        long nowMillis = clock.nowMillis();
        Target best = null;
        double bestCost = Double.MAX_VALUE;
        for (Target target : view.targetsOf(wish.service())) {
            if (target.leaving() || wish.excluded().contains(target.id())) {
                continue;
            }
            double cost = cost(target, wish, nowMillis);
            if (cost < bestCost) {
                best = target;
                bestCost = cost;
            }
        }
        if (best == null) {
            asker.refused("no-target", RETRY_AFTER_MILLIS);
            return;
        }
        Seen seen = seenByTarget.computeIfAbsent(best.id(), id -> new Seen());
        seen.underWay++;
        targetIdByKey.put(wish.key(), best.id());
        asker.placed(best, Optional.empty(), "nearest");
    }

    private double cost(Target target, DispatchRequest wish, long nowMillis) {
        double cost = FIRST_GUESS_MILLIS + (target.zone().equals(wish.zone()) ? 0 : OTHER_ZONE_MILLIS);
        // Spreads the nodes of a zone without a target of its own over the targets of others.
        cost += Math.floorMod((target.id() + wish.zone()).hashCode(), 100) / 100.0;
        Seen seen = seenByTarget.get(target.id());
        if (seen == null) {
            return cost;
        }
        cost += seen.extraMillis(nowMillis) + seen.underWay * FIRST_GUESS_MILLIS / Math.max(1, target.slots() / 2);
        long suspectMillis = seen.suspicion.remainingMillis(nowMillis);
        if (suspectMillis > 0) {
            cost += 1_000 + suspectMillis;
        }
        return cost;
    }

    @Override
    public void withdraw(String key) {
        ended(key);
    }

    @Override
    public void outcome(String key, RunOutcome outcome) {
        Seen seen = seenByTarget.get(targetIdByKey.get(key));
        if (seen == null) {
            targetIdByKey.remove(key);
            return;
        }
        long nowMillis = clock.nowMillis();
        switch (outcome) {
            case RunOutcome.FirstEventReceived answered -> {
                seen.suspicion.recordSuccess();
                observe(seen, Math.max(0, answered.firstEventMillis() - FIRST_GUESS_MILLIS), nowMillis);
                return;
            }
            case RunOutcome.Declined declined -> observe(seen, MILLIS_PER_FAILURE, nowMillis);
            case RunOutcome.ConnectionFailed broken -> {
                observe(seen, MILLIS_PER_FAILURE, nowMillis);
                seen.suspicion.recordFailure(nowMillis);
            }
            case RunOutcome.Abandoned abandoned -> {
                // Says nothing of the target.
            }
        }
        ended(key);
    }

    @Override
    public void ended(String key) {
        Seen seen = seenByTarget.get(targetIdByKey.remove(key));
        if (seen != null) {
            seen.underWay--;
        }
    }

    private static void observe(Seen seen, double extraMillis, long nowMillis) {
        seen.extraMillis = seen.extraMillis(nowMillis) * (1 - NEW_WEIGHT) + extraMillis * NEW_WEIGHT;
        seen.atMillis = nowMillis;
    }
}
