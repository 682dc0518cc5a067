package org.poplarwharf.internal.cell;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.poplarwharf.FailureCode;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.config.FleetConfig.TargetKind;
import org.poplarwharf.internal.config.FleetConfig.TargetSpec;
import org.poplarwharf.plugins.EngineDialect;
import org.poplarwharf.plugins.EngineDialect.Report;

/**
 * Asks the engines of a cell for their reports.
 *
 * <p>Invariants: one poll a target is awaited at a time; a poll without progress is abandoned and its late answer is
 * dropped; the next one is made at once before the target is suspected. Belongs to the control thread.
 */
final class EngineWatcher {
    private final EngineDialect engine;
    private final StepCounter steps;
    private final long pollMillis;
    private final long abandonMillis;
    private final DeathHandler deaths;
    private final Map<String, TargetWatch> watches = new HashMap<>();
    private final Map<String, Poll> polls = new HashMap<>();

    /** Hears of the end of an engine's process, once for each boot id, or again when first refused and then restarted. */
    interface DeathHandler {
        void died(String target, String bootId);

        /** A target that had failed a poll answers, and its process is the same. */
        void alive(String target);
    }

    private record Poll(long step, long startedMillis, boolean awaited) {}

    EngineWatcher(EngineDialect engine, StepCounter steps, long pollMillis, long abandonMillis, DeathHandler deaths) {
        this.engine = engine;
        this.steps = steps;
        this.pollMillis = pollMillis;
        this.abandonMillis = abandonMillis;
        this.deaths = deaths;
    }

    Map<String, TargetWatch> watches() {
        return watches;
    }

    TargetWatch of(String target) {
        return watches.getOrDefault(target, TargetWatch.UNKNOWN);
    }

    /** A request to the target failed; its next poll is due at once. */
    void doubt(String target) {
        Poll poll = polls.get(target);
        if (poll != null && !poll.awaited()) {
            polls.remove(target);
        }
    }

    void tick(Collection<TargetSpec> targets, long nowMillis) {
        for (TargetSpec target : targets) {
            if (target.kind() == TargetKind.ENGINE) {
                pollWhenDue(target, nowMillis);
            }
        }
    }

    private void pollWhenDue(TargetSpec target, long nowMillis) {
        Poll last = polls.get(target.name());
        if (last == null) {
            poll(target, nowMillis);
            return;
        }
        long ageMillis = nowMillis - last.startedMillis();
        if (last.awaited() && ageMillis >= abandonMillis) {
            watches.put(target.name(), of(target.name()).failed());
            poll(target, nowMillis);
            return;
        }
        boolean retryAtOnce = of(target.name()).failures() == 1;
        if (!last.awaited() && (ageMillis >= pollMillis || retryAtOnce)) {
            poll(target, nowMillis);
        }
    }

    private void poll(TargetSpec target, long nowMillis) {
        long step = steps.next();
        polls.put(target.name(), new Poll(step, nowMillis, true));
        engine.report(target.address()).whenComplete((report, failure) -> {
            Poll current = polls.get(target.name());
            if (current == null || current.step() != step) {
                return;
            }
            polls.put(target.name(), new Poll(step, nowMillis, false));
            if (failure != null) {
                failed(target.name(), failure);
                return;
            }
            reported(target.name(), report, step, nowMillis);
        });
    }

    private void failed(String target, Exception failure) {
        TargetWatch before = of(target);
        watches.put(target, before.failed());
        boolean refused =
                failure instanceof PoplarWharfException known && known.code() == FailureCode.TARGET_UNREACHABLE;
        if (refused && watches.get(target).suspect()) {
            before.report().ifPresent(report -> deaths.died(target, report.bootId()));
        }
    }

    private void reported(String target, Report report, long step, long nowMillis) {
        Optional<Report> before = of(target).report();
        boolean failedBefore = of(target).failures() > 0;
        watches.put(target, new TargetWatch(Optional.of(report), step, nowMillis, 0));
        boolean restarted =
                before.filter(old -> !old.bootId().equals(report.bootId())).isPresent();
        if (restarted) {
            deaths.died(target, before.get().bootId());
        } else if (failedBefore) {
            deaths.alive(target);
        }
    }
}
