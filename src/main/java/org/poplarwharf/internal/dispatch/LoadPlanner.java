package org.poplarwharf.internal.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.poplarwharf.internal.fleet.EngineModelSpec;

/**
 * Selects the target at which a model is loaded and the models that are evicted for it. Minimises the total time that
 * this costs all callers.
 *
 * <p>Stateless; confined to the thread of the engine states that it reads.
 */
final class LoadPlanner {
    /** The time over which the requests for an evicted model are counted: about the time until it is loaded again. */
    private static final double DEMAND_HORIZON_SECONDS = 10;

    /**
     * The eviction cost is reduced to this share if another target holds the model, since its requests can go there.
     */
    private static final double REPLICATED_COST_RATIO = 0.15;

    /** The cost to each running request, which the prompts of the new model slow down a little. */
    private static final double COST_PER_RUN_MILLIS = 15;

    /** The time that one unload order takes. */
    private static final double COST_PER_UNLOAD_MILLIS = 30;

    /** The minimum wait for a target that has an order in flight or about to be sent. */
    private static final long MIN_WAIT_MILLIS = 100;

    /**
     * Weight of a load from the weight store, which also blocks the faster loads that requests wait for at the target.
     */
    private static final double STORE_LOAD_COST_RATIO = 1.5;

    /** The share of the requests for a model with adapters that need one which its target doesn't hold. */
    private static final double MISSING_ADAPTER_RATIO = 0.2;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final DemandEstimator demand;

    LoadPlanner(DemandEstimator demand) {
        this.demand = demand;
    }

    /**
     * A possible load of a model.
     *
     * @param victims the models to be evicted first
     * @param startsNow whether the target is free; if not, the plan is to wait for it
     * @param costMillis the total time that the load costs all callers
     */
    record Plan(EngineState engine, List<String> victims, boolean startsNow, boolean fromStore, double costMillis) {}

    /**
     * Returns the cheapest plan to load a model, which may be to wait for a target that is busy with another load;
     * empty if no target can load it. Loads from the weight store are considered only if the store allows one more.
     *
     * @param protectedModels models that must not be evicted
     */
    Optional<Plan> plan(
            EngineModelSpec model,
            Collection<EngineState> engines,
            Set<String> protectedModels,
            boolean storeAllowsLoad,
            long nowMillis) {
        ReplicaCounts replicas = null;
        Plan best = null;
        for (EngineState engine : engines) {
            boolean usable = engine.acceptsLoads(nowMillis) && !engine.models.containsKey(model.name());
            if (!usable || (!storeAllowsLoad && engine.loadsFromStore(model))) {
                continue;
            }
            replicas = replicas == null ? ReplicaCounts.count(engines, nowMillis) : replicas;
            Optional<Plan> plan = plan(model, engine, replicas, protectedModels, nowMillis);
            if (plan.isPresent() && (best == null || plan.get().costMillis() < best.costMillis())) {
                best = plan.get();
            }
        }
        return Optional.ofNullable(best);
    }

    private Optional<Plan> plan(
            EngineModelSpec model,
            EngineState engine,
            ReplicaCounts replicas,
            Set<String> protectedModels,
            long nowMillis) {
        Optional<List<String>> victims = victims(model, engine, replicas, protectedModels, nowMillis);
        if (victims.isEmpty()) {
            return Optional.empty();
        }
        boolean fromStore = engine.loadsFromStore(model);
        boolean startsNow = engine.loads.nextModel.isEmpty() && !engine.loads.isLoading(nowMillis);
        long waitMillis =
                startsNow ? 0 : Math.max(MIN_WAIT_MILLIS, engine.loads.loadsDoneMillis(nowMillis) - nowMillis);
        double costMillis = engine.loadMillis(model) * (fromStore ? STORE_LOAD_COST_RATIO : 1)
                + waitMillis
                + engine.runs.size() * COST_PER_RUN_MILLIS
                + victims.get().size() * COST_PER_UNLOAD_MILLIS;
        costMillis += blockedAdapterCostMillis(engine, engine.loadMillis(model), replicas, nowMillis);
        boolean mustDrain = false;
        for (String victim : victims.get()) {
            costMillis += evictionCostMillis(victim, engine, replicas, nowMillis);
            mustDrain |= engine.models.get(victim).runCount > 0;
        }
        costMillis += mustDrain ? EngineLoads.DRAIN_MILLIS : 0;
        return Optional.of(new Plan(engine, victims.get(), startsNow, fromStore, costMillis));
    }

    /**
     * Returns the models whose eviction frees enough memory at the lowest cost; empty if evicting all
     * evictable models would not free enough.
     */
    Optional<List<String>> victims(
            EngineModelSpec model,
            EngineState engine,
            ReplicaCounts replicas,
            Set<String> protectedModels,
            long nowMillis) {
        List<Map.Entry<String, ModelInstance>> evictable = new ArrayList<>();
        for (Map.Entry<String, ModelInstance> entry : engine.models.entrySet()) {
            ModelInstance instance = entry.getValue();
            boolean isProtected = !instance.isReady(nowMillis)
                    || instance.protectedUntilMillis > nowMillis
                    || protectedModels.contains(entry.getKey())
                    || (demand.isBusy(entry.getKey(), nowMillis)
                            && !replicas.isServedElsewhere(engine, entry.getKey()));
            if (!isProtected && engine.spec.models().containsKey(entry.getKey())) {
                evictable.add(entry);
            }
        }
        evictable.sort(Comparator.comparingDouble((Map.Entry<String, ModelInstance> entry) ->
                        evictionCostMillis(entry.getKey(), engine, replicas, nowMillis)
                                / engine.spec.models().get(entry.getKey()).sizeMb())
                .thenComparingLong(entry -> entry.getValue().lastUsedMillis));
        List<String> victims = new ArrayList<>();
        double freeMb = engine.freeMemoryMb() - engine.spec.adapterSlots() * model.adapterSizeMb();
        for (Map.Entry<String, ModelInstance> entry : evictable) {
            if (freeMb >= model.sizeMb()) {
                break;
            }
            victims.add(entry.getKey());
            freeMb += engine.spec.models().get(entry.getKey()).sizeMb();
        }
        return freeMb >= model.sizeMb() ? Optional.of(victims) : Optional.empty();
    }

    /**
     * Returns the least requested of the models whose eviction alone would free enough memory for the given model here.
     * Such a model may be busy and served by no other target; it can be evicted once another target holds it too.
     */
    Optional<String> blockingModel(EngineModelSpec model, EngineState engine, long nowMillis) {
        double missingMb = model.sizeMb() + engine.spec.adapterSlots() * model.adapterSizeMb() - engine.freeMemoryMb();
        return engine.models.entrySet().stream()
                .filter(entry -> entry.getValue().isReady(nowMillis) && !entry.getValue().draining)
                .map(Map.Entry::getKey)
                .filter(name -> engine.spec.models().containsKey(name)
                        && engine.spec.models().get(name).sizeMb() >= missingMb)
                .min(Comparator.comparingDouble(name -> demand.requestsPerSecond(name, nowMillis)));
    }

    /**
     * Returns the total time in milliseconds that callers of models which stay at the target would wait for adapters: it
     * loads none during the load.
     */
    private double blockedAdapterCostMillis(
            EngineState engine, long loadMillis, ReplicaCounts replicas, long nowMillis) {
        double costMillis = 0;
        for (String held : engine.models.keySet()) {
            EngineModelSpec spec = engine.spec.models().get(held);
            if (spec == null || spec.adapters() == 0) {
                continue;
            }
            double costRatio = replicas.isServedElsewhere(engine, held) ? REPLICATED_COST_RATIO : 1;
            double requests = demand.requestsPerSecond(held, nowMillis) * loadMillis / MILLIS_PER_SECOND;
            costMillis += requests * MISSING_ADAPTER_RATIO * costRatio * loadMillis / 2;
        }
        return costMillis;
    }

    /** Returns the total time in milliseconds that callers would wait for the model to be loaded again. */
    private double evictionCostMillis(String model, EngineState engine, ReplicaCounts replicas, long nowMillis) {
        EngineModelSpec spec = engine.spec.models().get(model);
        double costRatio = replicas.isHeldElsewhere(engine, model) ? REPLICATED_COST_RATIO : 1;
        boolean hasLocalCopy = engine.inMemory.contains(model) || engine.onDisk.contains(model);
        long reloadMillis = hasLocalCopy ? spec.diskLoadMillis() : spec.storeLoadMillis();
        // A lower bound, so that models that were never requested are still ordered by size and last use.
        double requestsPerSecond = Math.max(0.01, demand.requestsPerSecond(model, nowMillis));
        return requestsPerSecond * DEMAND_HORIZON_SECONDS * costRatio * reloadMillis;
    }
}
