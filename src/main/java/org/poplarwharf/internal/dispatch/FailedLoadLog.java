package org.poplarwharf.internal.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.poplarwharf.internal.fleet.EngineModelSpec;

/**
 * Logs why a model that callers ask for is not being loaded: the store's limit, no free target, or nothing that may be
 * evicted; and which adapters can't be loaded.
 *
 * <p>Invariant: at most one entry per model or adapter and second. Confined to one thread.
 */
final class FailedLoadLog {
    /** The minimum interval between log entries for a model that can't be loaded. */
    private static final long LOG_INTERVAL_MILLIS = 1_000;

    private static final int MAX_HELD_CHARS = 700;

    private final DemandEstimator demand;
    private final UnservedDemand unserved;
    private final LoadPlanner planner;
    private final DispatchActions actions;
    private final Map<String, Long> lastLoggedMillisByName = new HashMap<>();

    /** Why no load of a model begins. */
    private enum Cause {
        /** Its cheapest load waits for a target that is busy with another one. */
        TARGET_BUSY,
        /** It must be loaded from the store, which allows no further load now. */
        STORE_LIMIT,
        /** All targets that it could be loaded at hold only models that must stay. */
        NOTHING_EVICTABLE,
        /** No target takes loads. */
        NO_TARGET
    }

    FailedLoadLog(DemandEstimator demand, UnservedDemand unserved, LoadPlanner planner, DispatchActions actions) {
        this.demand = demand;
        this.unserved = unserved;
        this.planner = planner;
        this.actions = actions;
    }

    /** Logs that the load of a model can't begin now, unless that was logged very recently. */
    void log(
            EngineModelSpec model,
            Collection<EngineState> engines,
            Set<String> protectedModels,
            boolean storeAllowsLoad,
            long nowMillis) {
        if (!isDue(model.name(), nowMillis)) {
            return;
        }
        Cause cause = cause(model, engines, protectedModels, storeAllowsLoad, nowMillis);
        actions.logDecision(
                "load-not-possible",
                "model",
                model.name(),
                "cause",
                cause.name().toLowerCase(Locale.ROOT).replace('_', '-'),
                "askedInVainMillis",
                unserved.askedInVainMillis(model.name(), nowMillis),
                "storeOpen",
                storeAllowsLoad,
                "held",
                cause == Cause.NOTHING_EVICTABLE ? describeHeldModels(engines, nowMillis) : "");
    }

    /** Logs that no target that serves the model can load the adapter in time, unless that was logged very recently. */
    void logAdapter(String model, String adapter, long waitMillis, long nowMillis) {
        if (isDue(model + "/" + adapter, nowMillis)) {
            actions.logDecision(
                    "adapter-load-not-possible", "model", model, "adapter", adapter, "waitMillis", waitMillis);
        }
    }

    private boolean isDue(String name, long nowMillis) {
        Long lastLoggedMillis = lastLoggedMillisByName.get(name);
        boolean due = lastLoggedMillis == null || nowMillis - lastLoggedMillis > LOG_INTERVAL_MILLIS;
        if (due) {
            lastLoggedMillisByName.put(name, nowMillis);
        }
        return due;
    }

    private Cause cause(
            EngineModelSpec model,
            Collection<EngineState> engines,
            Set<String> protectedModels,
            boolean storeAllowsLoad,
            long nowMillis) {
        if (planner.plan(model, engines, protectedModels, storeAllowsLoad, nowMillis)
                .isPresent()) {
            return Cause.TARGET_BUSY;
        }
        if (!storeAllowsLoad
                && planner.plan(model, engines, protectedModels, true, nowMillis)
                        .isPresent()) {
            return Cause.STORE_LIMIT;
        }
        return engines.stream().anyMatch(engine -> engine.acceptsLoads(nowMillis))
                ? Cause.NOTHING_EVICTABLE
                : Cause.NO_TARGET;
    }

    /** Describes the models that targets hold, with their requests per second; truncated if the text is long. */
    private String describeHeldModels(Collection<EngineState> engines, long nowMillis) {
        StringBuilder text = new StringBuilder();
        for (EngineState engine : engines) {
            if (text.length() > MAX_HELD_CHARS) {
                return text.append("...").toString();
            }
            text.append(engine.target.id()).append(engine.acceptsRequests(nowMillis) ? "[" : "(doubted)[");
            engine.models.forEach((name, instance) -> text.append(name)
                    .append(instance.isReady(nowMillis) ? ":" : "(loading):")
                    .append(String.format(Locale.ROOT, "%.2f ", demand.requestsPerSecond(name, nowMillis))));
            text.append("] ");
        }
        return text.toString();
    }
}
