package org.poplarwharf.internal.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.poplarwharf.internal.fleet.EngineSpec;
import org.poplarwharf.internal.fleet.ModelSpec;

/**
 * Keeps targets' models in step with demand: loads those that are waited for, gives busy ones a second replica, and
 * fetches those that no target has a copy of.
 *
 * <p>Invariant: a model is ordered only where it fits beside all that the target may hold. Confined to one thread.
 */
final class ModelKeeper {
    /** A second replica is worth a fast load, not one that keeps a target from others for seconds. */
    private static final String BUSY = "busy";

    /** What a second replica may cost: its own load, and hardly anything that others wait for. */
    private static final double REPLICA_WORTH_MILLIS = 900;

    /** What each request a second adds to that: so many lose their streams with the only replica. */
    private static final double WORTH_MILLIS_PER_REQUEST = 500;

    /** A busy model gets a second replica, so that the loss of a target leaves one. */
    private static final int REPLICAS_WHEN_BUSY = 2;

    /** Loads ahead of demand leave this many of a window's loads for requests. */
    private static final int SPARE_LOADS = 3;

    /** At most this many models are fetched ahead of demand at once, so that loads for requests stay fast. */
    private static final int FETCHES_AT_ONCE = 3;

    /** One target in this many may load from the weight store at a time; the others stay free for fast loads. */
    private static final int STORE_LOADS_DIVISOR = 3;

    private static final int MAX_HELD_CHARS = 700;

    /** Few stores serve more than this at full speed. */
    private static final int MOST_STORE_LOADS = 4;

    /** A load this much over its time shows that the store is shared by too many. */
    private static final double OVERDUE_SHARE = 0.3;

    /** After this the store is tried with more loads at once again. */
    private static final long SLOW_STORE_MILLIS = 60_000;

    /** A load that was not possible is tried again after this, however much happens meanwhile. */
    private static final long TRY_GAP_MILLIS = 15;

    /** Loads ahead of demand look at every model and target; this often is soon enough for them. */
    private static final long AHEAD_GAP_MILLIS = 200;

    /** The same reason is logged again after this. */
    private static final long SAME_LINE_MILLIS = 1_000;

    private final Demand demand;
    private final LoadBudget budget;
    private final LoadPlanner planner;
    private final DispatchActions actions;
    private final Orders orders;
    private final Map<String, Long> triedAtMillis = new HashMap<>();
    private long slowStoreUntilMillis = Long.MIN_VALUE;
    private long aheadMillis = Long.MIN_VALUE / 2;
    private final Map<String, Long> notLoadedMillis = new HashMap<>();

    ModelKeeper(Demand demand, LoadBudget budget, Orders orders, DispatchActions actions) {
        this.demand = demand;
        this.budget = budget;
        this.planner = new LoadPlanner(demand);
        this.orders = orders;
        this.actions = actions;
    }

    /** Returns when a model can serve its next request, as far as can be told. */
    long readyMillis(ModelSpec model, Collection<EngineState> engines, long nowMillis) {
        long best = Long.MAX_VALUE;
        long nearestLoadMillis = model.storeLoadMillis();
        for (EngineState engine : engines) {
            if (!engine.takesWork(nowMillis)) {
                continue;
            }
            Residency held = engine.models.get(model.name());
            if (held != null) {
                long readyMillis = held.readyAtMillis == Residency.NOT_YET
                        ? nowMillis + engine.loadMillis(model)
                        : Math.max(nowMillis, held.readyAtMillis);
                best = Math.min(best, readyMillis);
            }
            long freeMillis = Math.max(0, engine.freeAtMillis(nowMillis) - nowMillis);
            nearestLoadMillis = Math.min(nearestLoadMillis, freeMillis + engine.loadMillis(model));
        }
        return best == Long.MAX_VALUE ? nowMillis + nearestLoadMillis : best;
    }

    /** Gives the orders that are due. */
    void keep(EngineSpec spec, Collection<EngineState> engines, Set<String> cold, long nowMillis) {
        confirm(engines, nowMillis);
        if (!orders.allowed()) {
            return;
        }
        for (String model : cold) {
            Long triedMillis = triedAtMillis.get(model);
            boolean triedJustNow = triedMillis != null && nowMillis - triedMillis < TRY_GAP_MILLIS;
            if (!triedJustNow && !underWay(model, engines, nowMillis)) {
                triedAtMillis.put(model, nowMillis);
                start(spec.models().get(model), engines, cold, "waited for", 0, nowMillis);
            }
        }
        if (cold.isEmpty() && nowMillis - aheadMillis >= AHEAD_GAP_MILLIS) {
            aheadMillis = nowMillis;
            replicate(spec, engines, nowMillis);
            fetchAhead(spec, engines, nowMillis);
        }
        for (EngineState engine : engines) {
            advance(engine, engines, cold, nowMillis);
        }
    }

    private void confirm(Collection<EngineState> engines, long nowMillis) {
        for (EngineState engine : engines) {
            if (engine.unconfirmed(nowMillis) && nowMillis - engine.reportAskedMillis >= Orders.REPORT_GAP_MILLIS) {
                orders.askReport(engine, nowMillis);
            }
        }
    }

    /** Tells whether some target holds the model, loads it, or is about to. */
    boolean underWay(String model, Collection<EngineState> engines, long nowMillis) {
        for (EngineState engine : engines) {
            if (engine.holdsOrWants(model) && engine.takesWork(nowMillis)) {
                return true;
            }
        }
        return false;
    }

    private boolean start(
            ModelSpec model,
            Collection<EngineState> engines,
            Set<String> wanted,
            String why,
            int spareLoads,
            long nowMillis) {
        Optional<LoadPlanner.Plan> plan = planner.plan(model, engines, wanted, nowMillis);
        if (plan.isEmpty() && !engines.isEmpty()) {
            notLoaded(model, () -> "no target has room that is not in use: " + held(engines, nowMillis), nowMillis);
            return false;
        }
        if (plan.isEmpty() || !plan.get().now()) {
            return false;
        }
        if (why.equals(BUSY)
                && (plan.get().fromStore() || plan.get().costMillis() > replicaWorthMillis(model, nowMillis))) {
            return false;
        }
        if (plan.get().fromStore() && storeLoads(engines) >= storeLoadLimit(model, engines, nowMillis)) {
            notLoaded(model, () -> "enough targets load from the weight store", nowMillis);
            return false;
        }
        if (plan.get().fromStore() && !budget.allows(nowMillis, spareLoads)) {
            notLoaded(model, () -> "too many loads from the weight store", nowMillis);
            return false;
        }
        EngineState engine = plan.get().engine();
        engine.wantedModel = Optional.of(model.name());
        actions.decided(
                "load-planned",
                "model",
                model.name(),
                "why",
                why,
                "target",
                engine.target.id(),
                "fromStore",
                plan.get().fromStore(),
                "victims",
                String.join(",", plan.get().victims()),
                "costMillis",
                Math.round(plan.get().costMillis()));
        return true;
    }

    /** Returns what targets hold, with the requests a second that each model gets; cut where there are many. */
    private String held(Collection<EngineState> engines, long nowMillis) {
        StringBuilder text = new StringBuilder();
        for (EngineState engine : engines) {
            if (text.length() > MAX_HELD_CHARS) {
                return text.append("...").toString();
            }
            text.append(engine.target.id()).append(engine.takesWork(nowMillis) ? "[" : "(doubted)[");
            engine.models.forEach((name, held) -> text.append(name)
                    .append(held.ready(nowMillis) ? ":" : "(loading):")
                    .append(String.format(Locale.ROOT, "%.2f ", demand.perSecond(name, nowMillis))));
            text.append("] ");
        }
        return text.toString();
    }

    /**
     * Returns how many loads from the weight store may run at once. A store that is shared by more than it can serve at
     * full speed takes longer for each; once a load is overdue they go one by one.
     */
    private long storeLoadLimit(ModelSpec model, Collection<EngineState> engines, long nowMillis) {
        for (EngineState engine : engines) {
            for (Residency held : engine.models.values()) {
                if (held.unconfirmed && nowMillis - held.readyAtMillis > model.storeLoadMillis() * OVERDUE_SHARE) {
                    slowStoreUntilMillis = nowMillis + SLOW_STORE_MILLIS;
                }
            }
        }
        if (nowMillis < slowStoreUntilMillis) {
            return 1;
        }
        return Math.clamp(engines.size() / STORE_LOADS_DIVISOR, 1, MOST_STORE_LOADS);
    }

    private static long storeLoads(Collection<EngineState> engines) {
        return engines.stream().filter(EngineState::loadingFromStore).count();
    }

    private void notLoaded(ModelSpec model, Supplier<String> why, long nowMillis) {
        Long before = notLoadedMillis.get(model.name());
        if (before == null || nowMillis - before > SAME_LINE_MILLIS) {
            notLoadedMillis.put(model.name(), nowMillis);
            actions.decided("load-not-possible", "model", model.name(), "why", why.get());
        }
    }

    private void replicate(EngineSpec spec, Collection<EngineState> engines, long nowMillis) {
        for (ModelSpec model : spec.models().values()) {
            if (demand.perSecond(model.name(), nowMillis) < LoadPlanner.BUSY_PER_SECOND) {
                continue;
            }
            long replicas = engines.stream()
                    .filter(engine -> engine.takesWork(nowMillis) && engine.holdsOrWants(model.name()))
                    .count();
            if (replicas < REPLICAS_WHEN_BUSY) {
                start(model, engines, Set.of(), BUSY, SPARE_LOADS, nowMillis);
            }
        }
    }

    private double replicaWorthMillis(ModelSpec model, long nowMillis) {
        return REPLICA_WORTH_MILLIS + WORTH_MILLIS_PER_REQUEST * demand.perSecond(model.name(), nowMillis);
    }

    /** Brings models that no target has a copy of to some target's disk, from where they load fast. */
    private void fetchAhead(EngineSpec spec, Collection<EngineState> engines, long nowMillis) {
        long fetching = engines.stream()
                .filter(engine -> engine.wantedModel.isPresent() || engine.loadingFromStore())
                .count();
        if (fetching >= FETCHES_AT_ONCE) {
            return;
        }
        Set<String> busy = busy(spec, nowMillis);
        for (ModelSpec model : spec.models().values()) {
            if (fetching >= FETCHES_AT_ONCE) {
                return;
            }
            if (engines.stream().noneMatch(engine -> engine.hasCopy(model.name()))
                    && !underWay(model.name(), engines, nowMillis)
                    && start(model, engines, busy, "no copy", SPARE_LOADS, nowMillis)) {
                fetching++;
            }
        }
    }

    private Set<String> busy(EngineSpec spec, long nowMillis) {
        Set<String> busy = new HashSet<>();
        for (String model : spec.models().keySet()) {
            if (demand.perSecond(model, nowMillis) >= LoadPlanner.BUSY_PER_SECOND) {
                busy.add(model);
            }
        }
        return busy;
    }

    /** Takes the next step towards the model that a target is to load. */
    private void advance(EngineState engine, Collection<EngineState> engines, Set<String> cold, long nowMillis) {
        if (engine.wantedModel.isEmpty() || !orders.mayOrder(engine, nowMillis)) {
            return;
        }
        ModelSpec model = engine.spec.models().get(engine.wantedModel.get());
        Optional<List<String>> victims = model == null
                ? Optional.empty()
                : planner.victims(model, engine, Replicas.count(engines, nowMillis), cold, nowMillis);
        if (victims.isEmpty() || engine.models.containsKey(model.name())) {
            engine.giveUpLoad();
            return;
        }
        victims.get().forEach(victim -> engine.models.get(victim).retiring = true);
        for (String victim : victims.get()) {
            if (engine.models.get(victim).running > 0) {
                continue;
            }
            engine.leaving = Optional.of(engine.models.remove(victim));
            orders.order(engine, EngineOrder.Kind.UNLOAD, victim, Optional.empty(), nowMillis);
            return;
        }
        if (!victims.get().isEmpty() || (engine.loadsFromStore(model) && !budget.allows(nowMillis, 0))) {
            return;
        }
        engine.models.put(model.name(), new Residency(Residency.NOT_YET, Set.of()));
        orders.order(engine, EngineOrder.Kind.LOAD, model.name(), Optional.empty(), nowMillis);
    }
}
