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
 * Polls the engines of a cell for their reports.
 *
 * <p>Invariants: at most one poll per target is pending. A poll without a response within the timeout is abandoned,
 * and a late response to it is ignored. After the first failed poll the next one is sent immediately, before the
 * target becomes suspect. Confined to the control thread.
 */
final class EnginePoller {
    private final EngineDialect engine;
    private final LogicalClock clock;
    private final long pollMillis;
    private final long timeoutMillis;
    private final TargetLivenessListener listener;
    private final Map<String, TargetStatus> statuses = new HashMap<>();
    private final Map<String, Poll> polls = new HashMap<>();

    /**
     * Receives the death of an engine process, once for each boot id. A process that first refuses connections and is
     * then replaced is reported again.
     */
    interface TargetLivenessListener {
        void onDeath(String target, String bootId);

        /** Called when a target responds again after a failed poll and its process is still the same. */
        void onRecovered(String target);
    }

    private record Poll(long step, long startedMillis, boolean pending) {}

    EnginePoller(
            EngineDialect engine,
            LogicalClock clock,
            long pollMillis,
            long timeoutMillis,
            TargetLivenessListener listener) {
        this.engine = engine;
        this.clock = clock;
        this.pollMillis = pollMillis;
        this.timeoutMillis = timeoutMillis;
        this.listener = listener;
    }

    Map<String, TargetStatus> statuses() {
        return statuses;
    }

    /** Returns the latest status of a target, or {@link TargetStatus#UNKNOWN} if it was never polled. */
    TargetStatus statusOf(String target) {
        return statuses.getOrDefault(target, TargetStatus.UNKNOWN);
    }

    /**
     * Makes the next poll of a target due immediately, because a request to it has failed. Has no effect while a poll
     * is pending.
     */
    void pollWithoutDelay(String target) {
        Poll poll = polls.get(target);
        if (poll != null && !poll.pending()) {
            polls.remove(target);
        }
    }

    /** Sends the polls that are due to the given targets. Called at short intervals. */
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
        if (last.pending() && ageMillis >= timeoutMillis) {
            statuses.put(target.name(), statusOf(target.name()).withFailedPoll());
            poll(target, nowMillis);
            return;
        }
        boolean retryNow = statusOf(target.name()).failedPollCount() == 1;
        if (!last.pending() && (ageMillis >= pollMillis || retryNow)) {
            poll(target, nowMillis);
        }
    }

    private void poll(TargetSpec target, long nowMillis) {
        long step = clock.next();
        polls.put(target.name(), new Poll(step, nowMillis, true));
        engine.report(target.address()).whenComplete((report, failure) -> {
            Poll current = polls.get(target.name());
            if (current == null || current.step() != step) {
                return;
            }
            polls.put(target.name(), new Poll(step, nowMillis, false));
            if (failure != null) {
                onPollFailed(target.name(), failure);
                return;
            }
            onReport(target.name(), report, step, nowMillis);
        });
    }

    private void onPollFailed(String target, Exception failure) {
        TargetStatus before = statusOf(target);
        statuses.put(target, before.withFailedPoll());
        boolean connectionRefused =
                failure instanceof PoplarWharfException known && known.code() == FailureCode.TARGET_UNREACHABLE;
        if (connectionRefused && statuses.get(target).isSuspect()) {
            before.report().ifPresent(report -> listener.onDeath(target, report.bootId()));
        }
    }

    private void onReport(String target, Report report, long step, long nowMillis) {
        Optional<Report> before = statusOf(target).report();
        boolean failedBefore = statusOf(target).failedPollCount() > 0;
        statuses.put(target, new TargetStatus(Optional.of(report), step, nowMillis, 0));
        boolean restarted = before.filter(previous -> !previous.bootId().equals(report.bootId()))
                .isPresent();
        if (restarted) {
            listener.onDeath(target, before.get().bootId());
        } else if (failedBefore) {
            listener.onRecovered(target);
        }
    }
}
