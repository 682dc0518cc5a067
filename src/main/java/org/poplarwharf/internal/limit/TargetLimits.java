package org.poplarwharf.internal.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.BooleanSupplier;

/**
 * The requests per second that targets take from all nodes together. A target in need names its limit in each of its
 * responses.
 *
 * <p>A limit can be so low that a share of it for each node would be less than one request. So nodes have no shares: one
 * node, the lease holder, issues a permit for each request to a limited target, and no other node issues any. A node that
 * can reach no holder sends nothing to such a target.
 *
 * <p>Invariants: while this node issues permits, they are paced at the limit; while it does not, a limited target has
 * none. A limit ends only with a response without one to a request whose permit was issued after the limit was named
 * last, because earlier responses may arrive late. Confined to one thread; the current time is passed with each call.
 */
public final class TargetLimits {
    /** The wait for a permit that is assumed while this node issues none. */
    private static final long NOT_ISSUING_WAIT_MILLIS = 1_000;

    /**
     * Other targets are preferred for this long after a target has named its limit. A request after that shows whether
     * the limit is still in force.
     */
    private static final long PREFER_OTHERS_MILLIS = 2_000;

    /** A limit that this node has learned is known to the lease holder, and to this node from it, within this time. */
    private static final long REPORT_DELAY_MILLIS = 1_000;

    private final Map<String, Limit> byTarget = new HashMap<>();
    private final Listener listener;
    private final BooleanSupplier mayIssue;

    /** Receives changes of limits. */
    public interface Listener {
        /** Called with the new limit of a target; empty if it has none any more. */
        void limitChanged(String targetId, OptionalDouble requestsPerSecond);
    }

    private static final class Limit {
        private final PermitPacer pacer;
        private double requestsPerSecond;
        private long namedMillis;

        Limit(double requestsPerSecond, long nowMillis) {
            this.requestsPerSecond = requestsPerSecond;
            this.pacer = new PermitPacer(requestsPerSecond, nowMillis);
        }
    }

    /**
     * Creates limits without any entry.
     *
     * @param mayIssue whether this node may issue permits at the moment, that is, is certain to be the only lease holder
     */
    public TargetLimits(BooleanSupplier mayIssue, Listener listener) {
        this.mayIssue = mayIssue;
        this.listener = listener;
    }

    /** Drops saved permits, because this node has become the lease holder and another node has issued permits before. */
    public void restartPacing(long nowMillis) {
        byTarget.values().forEach(limit -> limit.pacer.restart(nowMillis));
    }

    /** Records that a target has named a limit in a response. */
    public void recordNamed(String targetId, double requestsPerSecond, long nowMillis) {
        Limit limit = byTarget.get(targetId);
        boolean changed = limit == null || limit.requestsPerSecond != requestsPerSecond;
        if (limit == null) {
            limit = new Limit(requestsPerSecond, nowMillis);
            byTarget.put(targetId, limit);
        } else if (changed) {
            limit.requestsPerSecond = requestsPerSecond;
            limit.pacer.setLimit(requestsPerSecond, nowMillis);
        }
        limit.namedMillis = nowMillis;
        if (changed) {
            listener.limitChanged(targetId, OptionalDouble.of(requestsPerSecond));
        }
    }

    /**
     * Records the response to a request. To be called after {@link #recordNamed} if the response names a limit.
     *
     * @param permittedMillis when the request was permitted to be sent to the target
     */
    public void recordResponse(String targetId, long permittedMillis) {
        Limit limit = byTarget.get(targetId);
        if (limit != null && permittedMillis > limit.namedMillis) {
            remove(targetId);
        }
    }

    /** Replaces the limits by those that the lease holder knows, but for limits that may not have reached it yet. */
    public void replaceAll(Map<String, Double> latest, long nowMillis) {
        byTarget.entrySet().stream()
                .filter(entry -> !latest.containsKey(entry.getKey()))
                .filter(entry -> nowMillis - entry.getValue().namedMillis > REPORT_DELAY_MILLIS)
                .map(Map.Entry::getKey)
                .toList()
                .forEach(this::remove);
        latest.forEach((targetId, requestsPerSecond) -> {
            Limit known = byTarget.get(targetId);
            if (known == null || known.requestsPerSecond != requestsPerSecond) {
                recordNamed(targetId, requestsPerSecond, nowMillis);
            }
        });
    }

    /** Forgets the limit of a target, for example because the target is gone. */
    public void remove(String targetId) {
        if (byTarget.remove(targetId) != null) {
            listener.limitChanged(targetId, OptionalDouble.empty());
        }
    }

    /** Returns the limits in force, in requests per second by target. */
    public Map<String, Double> requestsPerSecondByTarget() {
        Map<String, Double> limits = new HashMap<>();
        byTarget.forEach((targetId, limit) -> limits.put(targetId, limit.requestsPerSecond));
        return limits;
    }

    /** Returns whether the target has a limit. */
    public boolean isLimited(String targetId) {
        return byTarget.containsKey(targetId);
    }

    /** Returns the rate of permits for a limited target. */
    public double permitsPerSecond(String targetId) {
        return PermitPacer.permitsPerSecond(byTarget.get(targetId).requestsPerSecond);
    }

    /** Returns whether other targets should be preferred to this one, which has named a limit a short time ago. */
    public boolean prefersOthers(String targetId, long nowMillis) {
        Limit limit = byTarget.get(targetId);
        return limit != null && nowMillis - limit.namedMillis < PREFER_OTHERS_MILLIS;
    }

    /** Returns the time until this node can issue a permit for the target; zero for a target without a limit. */
    public long waitMillis(String targetId, long nowMillis) {
        Limit limit = byTarget.get(targetId);
        if (limit == null) {
            return 0;
        }
        return mayIssue.getAsBoolean() ? limit.pacer.waitMillis(nowMillis) : NOT_ISSUING_WAIT_MILLIS;
    }

    /** Takes a permit for one request to the target, and returns whether there was one. */
    public boolean tryAcquire(String targetId, long nowMillis) {
        Limit limit = byTarget.get(targetId);
        if (limit == null) {
            return true;
        }
        if (waitMillis(targetId, nowMillis) > 0) {
            return false;
        }
        limit.pacer.take(nowMillis);
        return true;
    }
}
