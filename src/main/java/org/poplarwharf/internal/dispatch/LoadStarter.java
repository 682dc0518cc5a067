package org.poplarwharf.internal.dispatch;

import java.util.Collection;
import java.util.Optional;
import org.poplarwharf.internal.fleet.EngineModelSpec;

/**
 * Starts planned loads, within what the weight store allows. Its loads go in turns to the model that the callers' requests
 * rank first and to the one that callers have asked for in vain for longest, so that neither waits for all of the others.
 *
 * <p>Invariant: a target has at most one planned load. Confined to one thread.
 */
final class LoadStarter {
    /** The reason of a load that is planned while another target holds the model, which is to be evicted there. */
    static final String REASON_RELOCATED = "in the way of another";

    private final LoadRateLimiter loadRate;
    private final DispatchActions actions;
    private final StoreConcurrencyLimit storeConcurrency = new StoreConcurrencyLimit();

    /** Whether the next load from the store is for the model asked for in vain for longest: every other one is. */
    private boolean longestAskedIsNext;

    /** The outcome of an attempt to load a model. */
    enum Outcome {
        STARTED,
        WAITS_FOR_TARGET,
        NOT_POSSIBLE
    }

    LoadStarter(LoadRateLimiter loadRate, DispatchActions actions) {
        this.loadRate = loadRate;
        this.actions = actions;
    }

    void updateStoreLimit(Collection<EngineState> engines, long nowMillis) {
        int limitBefore = storeConcurrency.limit();
        storeConcurrency.update(engines, nowMillis);
        if (storeConcurrency.limit() != limitBefore) {
            actions.logDecision(
                    "store-limit-changed",
                    "limit",
                    storeConcurrency.limit(),
                    "limitBefore",
                    limitBefore,
                    "loading",
                    String.join(",", storeConcurrency.modelsLoading()));
        }
    }

    /** Returns whether the store allows a load now that leaves it the given number of loads for others. */
    boolean storeAllowsLoad(Collection<EngineState> engines, int reservedLoads, long nowMillis) {
        return storeConcurrency.allowsLoad(engines.size()) && loadRate.allows(nowMillis, reservedLoads);
    }

    /** Returns whether the next load from the store is for the model asked for in vain for longest. */
    boolean isTurnOfLongestAsked() {
        return longestAskedIsNext;
    }

    /** Passes the turn on, after a load of the model asked for in vain for longest or if there is no such model. */
    void endTurnOfLongestAsked() {
        longestAskedIsNext = false;
    }

    /** Starts a planned load if its target is free. */
    Outcome startPlanned(EngineModelSpec model, Optional<LoadPlanner.Plan> plan, String reason, long nowMillis) {
        if (plan.isEmpty()) {
            return Outcome.NOT_POSSIBLE;
        }
        if (!plan.get().startsNow()) {
            return Outcome.WAITS_FOR_TARGET;
        }
        EngineState engine = plan.get().engine();
        engine.loads.nextModel = Optional.of(model.name());
        engine.loads.nextPlannedMillis = nowMillis;
        engine.loads.nextIsRelocation = reason.equals(REASON_RELOCATED);
        if (plan.get().fromStore()) {
            storeConcurrency.recordPlanned();
            longestAskedIsNext = true;
        }
        actions.logDecision(
                "load-planned",
                "model",
                model.name(),
                "why",
                reason,
                "target",
                engine.target.id(),
                "fromStore",
                plan.get().fromStore(),
                "victims",
                String.join(",", plan.get().victims()),
                "costMillis",
                Math.round(plan.get().costMillis()));
        return Outcome.STARTED;
    }
}
