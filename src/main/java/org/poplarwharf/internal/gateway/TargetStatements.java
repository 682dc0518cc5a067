package org.poplarwharf.internal.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongSupplier;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.kernel.DecisionLog;

/**
 * What targets state of themselves in their responses to this node: that they leave, or that they take no requests from this
 * node for a while. Decides whether this node may send to a target.
 *
 * <p>Invariants: a statement binds until the incarnation that made it is replaced; a pause also ends by itself, and a shorter
 * one does not end a longer one. A response without a statement takes nothing back. Bounded: pauses are removed when they
 * end or when their target goes, and last {@link #MAX_PAUSE_MILLIS} at most. Confined to the event loop.
 */
final class TargetStatements {
    /** Keeps a mistaken value from excluding a target for hours. */
    static final long MAX_PAUSE_MILLIS = 300_000;

    private static final double MAX_SPREAD_RATIO = 0.25;
    private static final int SPREAD_STEP_COUNT = 1_000;

    private final FleetView view;
    private final LongSupplier clock;
    private final DecisionLog log;
    private final Map<String, Pause> pauses = new HashMap<>();

    private record Pause(Target target, long endMillis) {}

    TargetStatements(FleetView view, LongSupplier clock, DecisionLog log) {
        this.view = view;
        this.clock = clock;
        this.log = log;
        view.onRemoval(target -> pauses.remove(target.id()));
    }

    /** Records what the response of a target states. */
    void record(Target target, ResponseTraits response, TargetSelector selector) {
        if (target.isNode()) {
            return;
        }
        response.requestsPerSecondLimit().ifPresent(limit -> selector.reportLimit(target.id(), limit));
        if (response.targetLeaving() && view.markLeaving(target)) {
            log.log("target-leaving", "target", target.id(), "source", "response");
            selector.reportLeaving(target);
        }
        response.pauseMillis().ifPresent(millis -> pause(target, Math.min(millis, MAX_PAUSE_MILLIS)));
    }

    private void pause(Target target, long durationMillis) {
        long endMillis = clock.getAsLong() + durationMillis;
        Pause current = pauses.get(target.id());
        if (durationMillis == 0 || (current != null && current.endMillis >= endMillis)) {
            return;
        }
        pauses.put(target.id(), new Pause(target, endMillis));
        log.log("target-paused", "target", target.id(), "millis", durationMillis);
    }

    /** Returns whether this node may send a request to a target. */
    boolean accepts(Target target) {
        boolean isLeaving = view.target(target.id())
                .filter(target::isSameIncarnation)
                .filter(Target::leaving)
                .isPresent();
        return !isLeaving && !isPaused(target);
    }

    private boolean isPaused(Target target) {
        Pause pause = pauses.get(target.id());
        return pause != null && pause.endMillis > clock.getAsLong() && pause.target.isSameIncarnation(target);
    }

    /** Returns the ids of the targets that take no requests from this node for a while. */
    Set<String> pausedTargetIds() {
        long nowMillis = clock.getAsLong();
        pauses.values().removeIf(pause -> pause.endMillis <= nowMillis);
        return new HashSet<>(pauses.keySet());
    }

    /**
     * Returns after which time a caller should retry if no target of a service takes requests now; empty if one does, or
     * if none is known that will. The times of different requests are spread, so that their callers do not retry together.
     */
    OptionalLong pauseMillis(String service, String requestId) {
        if (pauses.isEmpty()) {
            return OptionalLong.empty();
        }
        List<Target> targets = view.targetsOf(service).stream()
                .filter(target -> !target.leaving())
                .toList();
        if (!targets.stream().allMatch(this::isPaused)) {
            return OptionalLong.empty();
        }
        double spread = MAX_SPREAD_RATIO * Math.floorMod(requestId.hashCode(), SPREAD_STEP_COUNT) / SPREAD_STEP_COUNT;
        return targets.stream()
                .mapToLong(target -> pauses.get(target.id()).endMillis - clock.getAsLong())
                .map(remainingMillis -> Math.round(remainingMillis * (1 + spread)))
                .min();
    }
}
