package org.poplarwharf.internal.gateway;

import java.util.function.Function;
import java.util.function.LongSupplier;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.fleet.FleetPlan;
import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.kernel.UnusableEntryLog;
import org.poplarwharf.internal.topic.TopicFollower;

/**
 * Applies the operator's plan from the platform's log.
 *
 * <p>Invariant: a document that cannot be decoded changes nothing. Confined to the event loop.
 */
public final class PlanTopicListener implements TopicFollower.Listener {
    private static final String PLAN_KEY = "config";

    private final FleetView view;
    private final Function<byte[], FleetPlan> decoder;
    private final LongSupplier clock;
    private final DecisionLog log;
    private final UnusableEntryLog unusablePlans;

    public PlanTopicListener(FleetView view, Function<byte[], FleetPlan> decoder, LongSupplier clock, DecisionLog log) {
        this.clock = clock;
        this.view = view;
        this.decoder = decoder;
        this.log = log;
        this.unusablePlans = new UnusableEntryLog(log, "plan", "key", clock);
    }

    @Override
    public void onUpdated(String key, byte[] value) {
        if (!key.equals(PLAN_KEY)) {
            return;
        }
        FleetPlan plan;
        try {
            plan = decoder.apply(value);
        } catch (PoplarWharfException e) {
            unusablePlans.unusable(key, value, e.getMessage());
            return;
        }
        long previousVersion = view.plan().map(FleetPlan::version).orElse(-1L);
        boolean applied = view.apply(plan);
        log.log(
                applied ? "plan-in-force" : "plan-passed-over",
                "version",
                plan.version(),
                "versionBefore",
                previousVersion,
                "routes",
                plan.routes().size());
    }

    @Override
    public void onRemoved(String key) {
        log.log("plan-entry-dropped", "key", key);
    }

    @Override
    public void onCaughtUp() {
        // If the topic has no plan, the node has none either and is not ready until one arrives.
    }

    @Override
    public void onRestored() {
        // The view ignores plans that are older than the current one.
    }

    @Override
    public void onRead() {
        view.recordPlanRead(clock.getAsLong());
    }

    @Override
    public void onReachabilityChanged(boolean reachable, String reason) {
        view.setPlanReachable(reachable);
        log.log(reachable ? "log-regained" : "log-lost", "topic", "plan", "reason", reason);
    }
}
