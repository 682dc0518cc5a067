package org.poplarwharf.internal.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.http.ConnectionObserver;

/**
 * Determines from a node's connections whether the node reaches any target at all. New connections decide: they fail at a
 * crashed target as well, but at several targets, without one that succeeds between, the path of this node is the likelier
 * cause. Open connections that get no response prompt a probe.
 *
 * <p>Invariant: a node counts as cut off only between failed connections to three targets, or to both of two, and the next
 * established one.
 * Confined to the event loop.
 */
final class TargetReachability implements ConnectionObserver {
    private static final int MIN_FAILED_TARGET_COUNT = 2;
    private static final int MAX_FAILED_TARGET_COUNT = 3;

    /** Failures further apart than this have different causes. */
    private static final long FAILURE_WINDOW_MILLIS = 3_000;

    /** Most responses begin within this time. */
    private static final long MAX_SILENCE_MILLIS = 600;

    private static final long PROBE_INTERVAL_MILLIS = 500;

    private final FleetView view;
    private final LongSupplier clock;
    private final Listener listener;
    private final Map<String, Long> failedMillisByTarget = new HashMap<>();
    private OptionalLong unansweredSinceMillis = OptionalLong.empty();
    private long lastProbeMillis = Long.MIN_VALUE / 2;
    private int probeCount;
    private boolean cutOff;

    /** Receives changes of what this class determines. */
    interface Listener {
        void cutOffChanged(boolean cutOff);

        /** Called when {@link #nextProbe()} may soon return a target. */
        void probesNeeded();
    }

    TargetReachability(FleetView view, LongSupplier clock, Listener listener) {
        this.view = view;
        this.clock = clock;
        this.listener = listener;
    }

    /** Returns whether this node reaches no target, as far as it knows. */
    boolean isCutOff() {
        return cutOff;
    }

    @Override
    public void connected(String targetId) {
        if (!isTarget(targetId)) {
            return;
        }
        failedMillisByTarget.clear();
        unansweredSinceMillis = OptionalLong.empty();
        setCutOff(false);
    }

    @Override
    public void connectFailed(String targetId) {
        if (!isTarget(targetId)) {
            return;
        }
        long nowMillis = clock.getAsLong();
        failedMillisByTarget.values().removeIf(millis -> nowMillis - millis > FAILURE_WINDOW_MILLIS);
        failedMillisByTarget.put(targetId, nowMillis);
        setCutOff(cutOff || failedMillisByTarget.size() >= requiredCount());
        listener.probesNeeded();
    }

    @Override
    public void requestSent(String targetId) {
        if (isTarget(targetId) && unansweredSinceMillis.isEmpty()) {
            unansweredSinceMillis = OptionalLong.of(clock.getAsLong());
            listener.probesNeeded();
        }
    }

    @Override
    public void received(String targetId) {
        if (isTarget(targetId)) {
            unansweredSinceMillis = OptionalLong.empty();
        }
    }

    /** Returns whether probes may be due later without a further event. */
    boolean needsProbes() {
        return cutOff || !failedMillisByTarget.isEmpty() || unansweredSinceMillis.isPresent();
    }

    /** Returns a target to connect to now, if that would show whether this node reaches any. */
    Optional<Target> nextProbe() {
        long nowMillis = clock.getAsLong();
        failedMillisByTarget.values().removeIf(millis -> !cutOff && nowMillis - millis > FAILURE_WINDOW_MILLIS);
        boolean isSilent =
                unansweredSinceMillis.isPresent() && nowMillis - unansweredSinceMillis.getAsLong() > MAX_SILENCE_MILLIS;
        boolean isDue = !failedMillisByTarget.isEmpty() || isSilent;
        if (!isDue || nowMillis - lastProbeMillis < PROBE_INTERVAL_MILLIS) {
            return Optional.empty();
        }
        List<Target> candidates = new ArrayList<>(view.targets());
        candidates.removeIf(Target::leaving);
        if (candidates.stream().anyMatch(target -> !failedMillisByTarget.containsKey(target.id()))) {
            candidates.removeIf(target -> failedMillisByTarget.containsKey(target.id()));
        }
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        lastProbeMillis = nowMillis;
        probeCount++;
        return Optional.of(candidates.get(probeCount % candidates.size()));
    }

    private int requiredCount() {
        return Math.clamp(view.targets().size(), MIN_FAILED_TARGET_COUNT, MAX_FAILED_TARGET_COUNT);
    }

    private boolean isTarget(String id) {
        return view.target(id).isPresent();
    }

    private void setCutOff(boolean latest) {
        if (latest != cutOff) {
            cutOff = latest;
            listener.cutOffChanged(latest);
        }
    }
}
