package org.poplarwharf.internal.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongSupplier;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.kernel.DecisionLog;

/**
 * What targets state of themselves in their responses to this node: that they leave, that they take no requests from this
 * node for a while, or that they are brittle. Decides whether this node may send to a target.
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
    private final BrittleTargets brittle;
    private final LongSupplier clock;
    private final DecisionLog log;
    private final GatewayMetrics metrics;
    private final Map<String, Pause> pauses = new HashMap<>();

    private record Pause(Target target, long endMillis) {}

    TargetStatements(
            FleetView view, BrittleTargets brittle, LongSupplier clock, DecisionLog log, GatewayMetrics metrics) {
        this.view = view;
        this.brittle = brittle;
        this.metrics = metrics;
        this.clock = clock;
        this.log = log;
        view.onRemoval(target -> pauses.remove(target.id()));
        view.onRemoval(brittle::forget);
    }

    /** Records the number of nodes that share brittle targets, and the position of this one, as the lease holder reports it. */
    void recordNodes(int count, Optional<Integer> position) {
        brittle.recordNodes(count, position, clock.getAsLong());
    }

    /** Records that an attempt is sent, and when it ends. */
    void recordSent(Attempt attempt) {
        Target target = attempt.target();
        if (!target.isNode()) {
            BrittleTargets.InFlight inFlight = brittle.recordSent(target);
            attempt.onEnd(completed -> inFlight.end(completed, clock.getAsLong()));
        }
    }

    /** Records what the response to an attempt states. */
    void record(Attempt attempt, ResponseTraits response, TargetSelector selector) {
        Target target = attempt.target();
        if (target.isNode()) {
            return;
        }
        response.requestsPerSecondLimit().ifPresent(limit -> selector.reportLimit(target.id(), limit));
        if (response.targetLeaving() && view.markLeaving(target)) {
            log.log("target-leaving", "target", target.id(), "source", "response");
            selector.reportLeaving(target);
        }
        recordBrittle(attempt, response);
        response.pauseMillis().ifPresent(millis -> pause(target, Math.min(millis, MAX_PAUSE_MILLIS)));
    }

    private void recordBrittle(Attempt attempt, ResponseTraits response) {
        Target target = attempt.target();
        if (view.target(target.id()).filter(target::isSameIncarnation).isEmpty()) {
            return;
        }
        BrittleTargets.Change change = brittle.recordResponse(
                target, response.declinesPerSecond(), response.notRun(), attempt.sentMillis(), clock.getAsLong());
        switch (change) {
            case NONE -> {}
            case STATED -> {
                metrics.countBrittleTargetChange();
                double declinesPerSecond = response.declinesPerSecond().orElseThrow();
                log.log("target-brittle", "target", target.id(), "declinesPerSecond", declinesPerSecond);
            }
            case ENDED -> {
                metrics.countBrittleTargetChange();
                log.log("target-brittle-ended", "target", target.id());
            }
        }
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
        if (isLeaving || isPaused(target)) {
            return false;
        }
        boolean hasRoom = brittleWaitMillis(target) == 0;
        if (!hasRoom) {
            metrics.countKeptFromBrittleTarget();
        }
        return hasRoom;
    }

    private boolean isPaused(Target target) {
        Pause pause = pauses.get(target.id());
        return pause != null && pause.endMillis > clock.getAsLong() && pause.target.isSameIncarnation(target);
    }

    private long brittleWaitMillis(Target target) {
        return target.isNode() ? 0 : brittle.waitMillis(target, clock.getAsLong());
    }

    /** Returns the ids of the targets of a service that take no requests from this node for a while. */
    Set<String> pausedTargetIds(String service) {
        long nowMillis = clock.getAsLong();
        pauses.values().removeIf(pause -> pause.endMillis <= nowMillis);
        Set<String> ids = new HashSet<>(pauses.keySet());
        if (brittle.hasRecentStatements(service, clock.getAsLong())) {
            view.targetsOf(service).stream()
                    .filter(target -> brittleWaitMillis(target) > 0)
                    .forEach(target -> ids.add(target.id()));
        }
        return ids;
    }

    /**
     * Returns after which time a caller should retry if no target of a service takes requests now; empty if one does, or
     * if none is known that will. The times of different requests are spread, so that their callers do not retry together.
     */
    OptionalLong pauseMillis(String service, String requestId) {
        if (pauses.isEmpty() && !brittle.hasRecentStatements(service, clock.getAsLong())) {
            return OptionalLong.empty();
        }
        List<Target> targets = view.targetsOf(service).stream()
                .filter(target -> !target.leaving())
                .toList();
        if (!targets.stream().allMatch(target -> waitMillis(target) > 0)) {
            return OptionalLong.empty();
        }
        if (!pauses.keySet().containsAll(targets.stream().map(Target::id).toList())) {
            metrics.countKeptFromBrittleTarget();
        }
        double spread = MAX_SPREAD_RATIO * Math.floorMod(requestId.hashCode(), SPREAD_STEP_COUNT) / SPREAD_STEP_COUNT;
        return targets.stream()
                .mapToLong(this::waitMillis)
                .map(remainingMillis -> Math.round(remainingMillis * (1 + spread)))
                .min();
    }

    private long waitMillis(Target target) {
        long pauseMillis = isPaused(target) ? pauses.get(target.id()).endMillis - clock.getAsLong() : 0;
        return Math.max(pauseMillis, brittleWaitMillis(target));
    }
}
