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
 * Picks the target that loads a model, and the models that make way for it, by the time that this costs all callers.
 *
 * <p>Stateless; confined to the thread of the states that it reads.
 */
final class LoadPlanner {
    /** Demand is looked ahead this far when the loss of a model is weighed: about the time until it is back. */
    private static final double HORIZON_SECONDS = 10;

    /** A model that others hold too is missed less: its requests go there. */
    private static final double REPLICATED_WEIGHT = 0.15;

    /** The prompts of the model that is loaded slow each running request a little. */
    private static final double MILLIS_PER_RUNNING = 15;

    /** The time of one order to make way. */
    private static final double MILLIS_PER_UNLOAD = 30;

    /** A target that has an order under way, or one due, is free again in about this time. */
    private static final long LEAST_WAIT_MILLIS = 100;

    /** A load from the weight store also keeps a target from all faster loads that others wait for meanwhile. */
    private static final double STORE_WEIGHT = 1.5;

    private final Demand demand;

    LoadPlanner(Demand demand) {
        this.demand = demand;
    }

    /** A way to load a model. */
    record Plan(EngineState engine, List<String> victims, boolean now, boolean fromStore, double costMillis) {}

    /**
     * Returns the cheapest way to load a model, which may be to wait for a target that is busy with another load; empty
     * where no target can take it. Loads from the weight store count only where it is open for one more.
     */
    Optional<Plan> plan(
            EngineModelSpec model,
            Collection<EngineState> engines,
            Set<String> wanted,
            boolean storeOpen,
            long nowMillis) {
        Replicas replicas = Replicas.count(engines, nowMillis);
        Plan best = null;
        for (EngineState engine : engines) {
            boolean usable = engine.takesWork(nowMillis) && !engine.models.containsKey(model.name());
            if (!usable || (!storeOpen && engine.loadsFromStore(model))) {
                continue;
            }
            Optional<Plan> plan = plan(model, engine, replicas, wanted, nowMillis);
            if (plan.isPresent() && (best == null || plan.get().costMillis() < best.costMillis())) {
                best = plan.get();
            }
        }
        return Optional.ofNullable(best);
    }

    private Optional<Plan> plan(
            EngineModelSpec model, EngineState engine, Replicas replicas, Set<String> wanted, long nowMillis) {
        Optional<List<String>> victims = victims(model, engine, replicas, wanted, nowMillis);
        if (victims.isEmpty()) {
            return Optional.empty();
        }
        boolean fromStore = engine.loadsFromStore(model);
        boolean now = engine.wantedModel.isEmpty() && !engine.loading(nowMillis);
        long waitMillis = now ? 0 : Math.max(LEAST_WAIT_MILLIS, engine.freeAtMillis(nowMillis) - nowMillis);
        double costMillis = engine.loadMillis(model) * (fromStore ? STORE_WEIGHT : 1)
                + waitMillis
                + engine.running.size() * MILLIS_PER_RUNNING
                + victims.get().size() * MILLIS_PER_UNLOAD;
        boolean drains = false;
        for (String victim : victims.get()) {
            costMillis += loss(victim, engine, replicas, nowMillis);
            drains |= engine.models.get(victim).running > 0;
        }
        costMillis += drains ? EngineState.DRAIN_MILLIS : 0;
        return Optional.of(new Plan(engine, victims.get(), now, fromStore, costMillis));
    }

    /** Returns the models whose going makes room at the least loss; empty where those that may go don't suffice. */
    Optional<List<String>> victims(
            EngineModelSpec model, EngineState engine, Replicas replicas, Set<String> wanted, long nowMillis) {
        List<Map.Entry<String, Residency>> idle = new ArrayList<>();
        for (Map.Entry<String, Residency> held : engine.models.entrySet()) {
            Residency residency = held.getValue();
            boolean spared = !residency.ready(nowMillis)
                    || residency.staysUntilMillis > nowMillis
                    || wanted.contains(held.getKey())
                    || (demand.busy(held.getKey(), nowMillis) && !replicas.servedBeside(engine, held.getKey()));
            if (!spared && engine.spec.models().containsKey(held.getKey())) {
                idle.add(held);
            }
        }
        idle.sort(Comparator.comparingDouble(
                        (Map.Entry<String, Residency> held) -> loss(held.getKey(), engine, replicas, nowMillis)
                                / engine.spec.models().get(held.getKey()).sizeMb())
                .thenComparingLong(held -> held.getValue().lastUsedMillis));
        List<String> victims = new ArrayList<>();
        double freeMb = engine.freeMb() - engine.spec.adapterSlots() * model.adapterSizeMb();
        for (Map.Entry<String, Residency> held : idle) {
            if (freeMb >= model.sizeMb()) {
                break;
            }
            victims.add(held.getKey());
            freeMb += engine.spec.models().get(held.getKey()).sizeMb();
        }
        return freeMb >= model.sizeMb() ? Optional.of(victims) : Optional.empty();
    }

    /**
     * Returns a busy model that no other target serves and that alone keeps a model from being loaded here: the one that
     * is asked for least. Held elsewhere as well, it could make way.
     */
    Optional<String> inTheWay(EngineModelSpec model, EngineState engine, long nowMillis) {
        double needMb = model.sizeMb() + engine.spec.adapterSlots() * model.adapterSizeMb() - engine.freeMb();
        return engine.models.entrySet().stream()
                .filter(held -> held.getValue().ready(nowMillis) && !held.getValue().retiring)
                .map(Map.Entry::getKey)
                .filter(name -> engine.spec.models().containsKey(name)
                        && engine.spec.models().get(name).sizeMb() >= needMb)
                .min(Comparator.comparingDouble(name -> demand.perSecond(name, nowMillis)));
    }

    /** Returns the milliseconds that callers would wait, in sum, for the model to come back. */
    private double loss(String model, EngineState engine, Replicas replicas, long nowMillis) {
        EngineModelSpec spec = engine.spec.models().get(model);
        double weight = replicas.heldBeside(engine, model) ? REPLICATED_WEIGHT : 1;
        boolean copied = engine.inMemory.contains(model) || engine.onDisk.contains(model);
        long reloadMillis = copied ? spec.diskLoadMillis() : spec.storeLoadMillis();
        // A rare model that was never asked for still counts for something, so that unasked ones tie by last use.
        double rate = Math.max(0.01, demand.perSecond(model, nowMillis));
        return rate * HORIZON_SECONDS * weight * reloadMillis;
    }
}
