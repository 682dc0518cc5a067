package org.poplarwharf.internal.dispatch;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.poplarwharf.internal.fleet.EngineModelSpec;

/**
 * Carries out planned loads: drains and evicts models that are in the way, then orders the load. A plan that can't be
 * carried out is dropped, so that another target can load the model.
 *
 * <p>Stateless; confined to the thread of the engine states that it changes.
 */
final class LoadAdvancer {
    /** A relocated model isn't evicted for this long: its load, and the end of its streams at the old target. */
    private static final long RELOCATION_PROTECTION_MILLIS = 4_000;

    /** A plan whose load has not begun by then is dropped, unless runs of an evicted model have yet to end. */
    private static final long PLAN_VALID_MILLIS = 5_000;

    private final LoadPlanner planner;
    private final LoadRateLimiter loadRate;
    private final EngineOrderController orders;
    private final DispatchActions actions;

    LoadAdvancer(LoadPlanner planner, LoadRateLimiter loadRate, EngineOrderController orders, DispatchActions actions) {
        this.planner = planner;
        this.loadRate = loadRate;
        this.orders = orders;
        this.actions = actions;
    }

    /** Takes the next step towards loading the target's next model: drains, evicts, then sends the load order. */
    void advance(EngineState engine, Collection<EngineState> engines, Set<String> unservedModels, long nowMillis) {
        if (engine.loads.nextModel.isEmpty()) {
            return;
        }
        if (isPlanExpired(engine, nowMillis)) {
            dropPlan(engine, nowMillis);
            return;
        }
        if (!orders.canOrder(engine, nowMillis)) {
            return;
        }
        EngineModelSpec model = engine.spec.models().get(engine.loads.nextModel.get());
        Optional<List<String>> victims = model == null
                ? Optional.empty()
                : planner.victims(model, engine, ReplicaCounts.count(engines, nowMillis), unservedModels, nowMillis);
        if (victims.isEmpty() || engine.models.containsKey(model.name())) {
            engine.loads.cancelNextLoad();
            return;
        }
        victims.get().forEach(victim -> engine.models.get(victim).draining = true);
        for (String victim : victims.get()) {
            if (engine.models.get(victim).runCount > 0) {
                continue;
            }
            engine.unloadInFlight = Optional.of(engine.models.remove(victim));
            orders.sendOrder(engine, EngineOrder.Kind.UNLOAD, victim, Optional.empty(), nowMillis);
            return;
        }
        if (!victims.get().isEmpty() || (engine.loadsFromStore(model) && !loadRate.allows(nowMillis, 0))) {
            return;
        }
        ModelInstance loading = new ModelInstance(ModelInstance.UNKNOWN_MILLIS, Set.of());
        loading.protectedUntilMillis = engine.loads.nextIsRelocation ? nowMillis + RELOCATION_PROTECTION_MILLIS : 0;
        engine.models.put(model.name(), loading);
        orders.sendOrder(engine, EngineOrder.Kind.LOAD, model.name(), Optional.empty(), nowMillis);
    }

    private static boolean isPlanExpired(EngineState engine, long nowMillis) {
        return engine.orderInFlight.isEmpty()
                && !engine.loads.isDraining()
                && nowMillis - engine.loads.nextPlannedMillis > PLAN_VALID_MILLIS;
    }

    /** Gives up a plan that can't be carried out, so that the model can be loaded at another target. */
    private void dropPlan(EngineState engine, long nowMillis) {
        actions.logDecision(
                "load-plan-dropped",
                "model",
                engine.loads.nextModel.orElse(""),
                "target",
                engine.target.id(),
                "afterMillis",
                nowMillis - engine.loads.nextPlannedMillis);
        engine.loads.cancelNextLoad();
        engine.loads.plansPausedUntilMillis = nowMillis + PLAN_VALID_MILLIS;
    }
}
