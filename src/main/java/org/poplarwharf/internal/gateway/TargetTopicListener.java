package org.poplarwharf.internal.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiFunction;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.fleet.TargetEntry;
import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.kernel.UnusableEntryLog;
import org.poplarwharf.internal.topic.TopicFollower;

/**
 * Updates the view of targets from their entries on the platform's log.
 *
 * <p>Invariant: a target whose entry expired during a log outage is kept for a short time, because a live target writes
 * its entry again within that time. A target that announced it was leaving is removed immediately. An entry from before
 * a restore of the log does not replace a newer one. An entry that names no target to use changes no other target. Confined to the event loop.
 */
public final class TargetTopicListener implements TopicFollower.Listener {
    /**
     * How long an expired entry may take to return. Live targets write theirs again within two seconds of the log's
     * recovery.
     */
    private static final long ENTRY_RETURN_MILLIS = 1_800;

    /**
     * An entry expires after three missed heartbeats, so an expiry this soon after a log outage may be caused by the
     * outage.
     */
    private static final long OUTAGE_EFFECT_MILLIS = 2_500;

    private static final byte[] NO_VALUE = {};

    private final FleetView view;
    private final BiFunction<String, byte[], TargetEntry> decoder;
    private final MonotonicClock clock;
    private final TopicFollower.Timer timer;
    private final DecisionLog log;
    private final UnusableEntryLog unusableEntries;
    private final CommonFields commonFields = new CommonFields();

    /** The latest entries that describe a target, also those that lack a field which the others state. */
    private final Map<String, DescribedEntry> describedByKey = new HashMap<>();

    private boolean logUnavailable;
    /** When the log was reachable again after an outage, or came back from an older copy. */
    private long logReturnedMillis = Long.MIN_VALUE / 2;

    private record DescribedEntry(byte[] value, TargetEntry.Described entry) {}

    public TargetTopicListener(
            FleetView view,
            BiFunction<String, byte[], TargetEntry> decoder,
            MonotonicClock clock,
            TopicFollower.Timer timer,
            DecisionLog log) {
        this.view = view;
        this.decoder = decoder;
        this.clock = clock;
        this.timer = timer;
        this.log = log;
        this.unusableEntries = new UnusableEntryLog(log, "target-entry", "target", clock::nowMillis);
    }

    @Override
    public void onUpdated(String key, byte[] value) {
        switch (decoder.apply(key, value)) {
            case TargetEntry.Unusable unusable -> {
                forget(key);
                setUnusable(key, value, unusable.reason());
            }
            case TargetEntry.Described described -> {
                describedByKey.put(key, new DescribedEntry(value, described));
                if (commonFields.put(key, described.optionalFields())) {
                    judgeAllAgain();
                } else {
                    judge(key, describedByKey.get(key));
                }
            }
        }
    }

    /** Returns the target that an entry names, by the fields that the entries state now; empty if it names none to use. */
    public Optional<Target> targetOf(String key, byte[] value) {
        return switch (decoder.apply(key, value)) {
            case TargetEntry.Unusable unusable -> Optional.empty();
            case TargetEntry.Described described ->
                Optional.of(described.target()).filter(target -> commonFields.isComplete(described.optionalFields()));
        };
    }

    private void judge(String key, DescribedEntry described) {
        if (commonFields.isComplete(described.entry().optionalFields())) {
            unusableEntries.ended(key);
            use(key, described.entry().target());
        } else {
            setUnusable(key, described.value(), "lacks a field that the other entries state");
        }
    }

    /** Judges all entries, because other fields are required than before. */
    private void judgeAllAgain() {
        describedByKey.forEach(this::judge);
    }

    private void setUnusable(String key, byte[] value, String reason) {
        unusableEntries.unusable(key, value, reason);
        view.remove(key);
    }

    private void forget(String key) {
        describedByKey.remove(key);
        if (commonFields.remove(key)) {
            judgeAllAgain();
        }
    }

    @Override
    public void onUnreadable(String description) {
        unusableEntries.unusable(description, NO_VALUE, "unreadable");
    }

    @Override
    public void onGap(String reason) {
        log.log("target-entries-incomplete", "reason", reason);
    }

    private void use(String key, Target target) {
        Optional<Target> previous = view.target(key);
        if (previous.filter(known -> known == target).isPresent()) {
            return;
        }
        if (previous.filter(known -> isOlder(target, known)).isPresent()) {
            log.log("target-entry-older", "target", key, "startedAt", target.startedAtMillis());
            return;
        }
        if (previous.isPresent() && !previous.get().isSameIncarnation(target)) {
            log.log(
                    "target-restarted",
                    "target",
                    key,
                    "service",
                    target.service(),
                    "startedAtBefore",
                    previous.get().startedAtMillis(),
                    "startedAt",
                    target.startedAtMillis());
        } else if (previous.isEmpty()) {
            log.log("target-found", "target", key, "service", target.service(), "startedAt", target.startedAtMillis());
        } else if (target.leaving() && !previous.get().leaving()) {
            log.log(
                    "target-leaving",
                    "target",
                    key,
                    "remainingMillis",
                    target.remainingMillis().orElse(-1));
        }
        view.put(target);
    }

    private boolean isOlder(Target target, Target known) {
        boolean isCountLower = target.startedAtMillis() == 0 && target.heartbeatCount() < known.heartbeatCount();
        return known.isNewerThan(target) || (isCountLower && hasRecentlyReturned());
    }

    private boolean hasRecentlyReturned() {
        return clock.nowMillis() - logReturnedMillis < OUTAGE_EFFECT_MILLIS;
    }

    @Override
    public void onRestored() {
        logReturnedMillis = clock.nowMillis();
    }

    @Override
    public void onRemoved(String key) {
        unusableEntries.ended(key);
        forget(key);
        Optional<Target> previous = view.target(key);
        if (previous.isEmpty()) {
            return;
        }
        boolean causedByOutage = logUnavailable || hasRecentlyReturned();
        if (!causedByOutage || previous.get().leaving()) {
            removeTarget(key, "entry dropped");
            return;
        }
        timer.schedule(ENTRY_RETURN_MILLIS, () -> {
            if (view.target(key).filter(target -> target == previous.get()).isPresent()) {
                removeTarget(key, "entry lapsed and did not return");
            }
        });
    }

    private void removeTarget(String key, String reason) {
        log.log("target-gone", "target", key, "why", reason);
        view.remove(key);
    }

    @Override
    public void onCaughtUp() {
        view.targetsLoaded();
    }

    @Override
    public void onReachabilityChanged(boolean reachable, String reason) {
        log.log(reachable ? "log-regained" : "log-lost", "topic", "targets", "reason", reason);
        logUnavailable = !reachable;
        view.setTargetsCurrent(reachable);
        if (reachable) {
            logReturnedMillis = clock.nowMillis();
        }
    }
}
