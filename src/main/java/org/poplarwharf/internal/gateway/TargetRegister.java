package org.poplarwharf.internal.gateway;

import java.util.Optional;
import java.util.function.BiFunction;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.topic.TopicFollower;

/**
 * Keeps the view of targets in step with their entries on the platform's log.
 *
 * <p>Invariant: a target whose entry lapsed while the log was away stays for a moment, since living ones are back by
 * then; one that said it was leaving goes at once. Confined to the event loop.
 */
public final class TargetRegister implements TopicFollower.Listener {
    /** Targets that live write their entries again within two seconds of the log's return. */
    private static final long RETURN_MILLIS = 1_800;

    /** An entry lapses after three missed check-ins, so one that goes this long after an outage may be due to it. */
    private static final long OUTAGE_SHADOW_MILLIS = 2_500;

    private final FleetView view;
    private final BiFunction<String, byte[], Optional<Target>> decoder;
    private final MonotonicClock clock;
    private final TopicFollower.Timer timer;
    private final DecisionLog log;
    private boolean away;
    private long backMillis = Long.MIN_VALUE / 2;

    public TargetRegister(
            FleetView view,
            BiFunction<String, byte[], Optional<Target>> decoder,
            MonotonicClock clock,
            TopicFollower.Timer timer,
            DecisionLog log) {
        this.view = view;
        this.decoder = decoder;
        this.clock = clock;
        this.timer = timer;
        this.log = log;
    }

    @Override
    public void put(String key, byte[] value) {
        Optional<Target> latest = decoder.apply(key, value);
        Optional<Target> before = view.target(key);
        if (latest.isEmpty()) {
            log.log("target-entry-unusable", "target", key, "bytes", value.length);
            before.ifPresent(target -> view.remove(key));
            return;
        }
        Target target = latest.get();
        if (before.isEmpty() || !before.get().isSameIncarnation(target)) {
            log.log("target-found", "target", key, "service", target.service(), "startedAt", target.startedAtMillis());
        } else if (target.leaving() && !before.get().leaving()) {
            log.log(
                    "target-leaving",
                    "target",
                    key,
                    "remainingMillis",
                    target.remainingMillis().orElse(-1));
        }
        view.put(target);
    }

    @Override
    public void drop(String key) {
        Optional<Target> before = view.target(key);
        if (before.isEmpty()) {
            return;
        }
        boolean lapsed = away || clock.nowMillis() - backMillis < OUTAGE_SHADOW_MILLIS;
        if (!lapsed || before.get().leaving()) {
            gone(key, "entry dropped");
            return;
        }
        timer.after(RETURN_MILLIS, () -> {
            if (view.target(key).filter(target -> target == before.get()).isPresent()) {
                gone(key, "entry lapsed and did not return");
            }
        });
    }

    private void gone(String key, String why) {
        log.log("target-gone", "target", key, "why", why);
        view.remove(key);
    }

    @Override
    public void caughtUp() {
        view.targetsKnown();
    }

    @Override
    public void reachable(boolean reachable, String reason) {
        log.log(reachable ? "log-regained" : "log-lost", "topic", "targets", "reason", reason);
        away = !reachable;
        if (reachable) {
            backMillis = clock.nowMillis();
        }
    }
}
