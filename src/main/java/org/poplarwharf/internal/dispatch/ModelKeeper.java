package org.poplarwharf.internal.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.poplarwharf.internal.fleet.EngineModelSpec;
import org.poplarwharf.internal.fleet.EngineSpec;

/**
 * Keeps targets' models in step with demand: loads those that are waited for, gives busy ones a second replica and those
 * whose targets are full one more, and fetches those that no target has a copy of.
 *
 * <p>It is made for more models than the targets hold together, with a burst on some of them, and a weight store that is
 * slow beside the copies on the targets' disks.
 *
 * <p>Invariant: a model is ordered only where it fits beside all that the target may hold. Confined to one thread.
 */
final class ModelKeeper {
    private static final String WAITED_FOR = "waited for";
    private static final String NO_COPY = "no copy";
    private static final String BUSY = "busy";
    private static final String CROWDED = "targets full";
    private static final String MOVED = "in the way of another";

    /** What one more replica may cost: its own load, and hardly anything that others wait for. */
    private static final double REPLICA_WORTH_MILLIS = 900;

    /** What each request a second adds to that: so many lose their streams with the only replica. */
    private static final double WORTH_MILLIS_PER_REQUEST = 500;

    /** Each request that waits for a place would wait this much longer; answers take a second or two. */
    private static final double WORTH_MILLIS_PER_WAITING = 1_000;

    /** A busy model gets a second replica, so that the loss of a target leaves one. */
    private static final int REPLICAS_WHEN_BUSY = 2;

    /** Loads ahead of demand leave this many of a window's loads for requests. */
    private static final int SPARE_LOADS = 3;

    /** A model that was moved makes way where it was before within this: its load, and the end of its streams. */
    private static final long MOVED_STAYS_MILLIS = 4_000;

    private static final int MAX_HELD_CHARS = 700;

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
    private final StoreGauge store = new StoreGauge();
    private final Map<String, Tried> tried = new HashMap<>();
    private long aheadMillis = Long.MIN_VALUE / 2;
    private final Map<String, Long> notLoadedMillis = new HashMap<>();

    /** What came of the wish to load a model. */
    private enum Outcome {
        BEGUN,
        WAITS_FOR_TARGET,
        NOT_POSSIBLE
    }

    private record Tried(long atMillis, Outcome outcome) {}

    ModelKeeper(Demand demand, LoadBudget budget, Orders orders, DispatchActions actions) {
        this.demand = demand;
        this.budget = budget;
        this.planner = new LoadPlanner(demand);
        this.orders = orders;
        this.actions = actions;
    }

    /** Returns when a model can serve its next request, as far as can be told. */
    long readyMillis(EngineModelSpec model, Collection<EngineState> engines, long nowMillis) {
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

    /**
     * Gives the orders that are due.
     *
     * @param cold models that are waited for and that no target serves
     * @param crowded models whose targets are all full, with the number of requests that wait
     */
    void keep(
            EngineSpec spec,
            Collection<EngineState> engines,
            Set<String> cold,
            Map<String, Integer> crowded,
            long nowMillis) {
        confirm(engines, nowMillis);
        if (!orders.allowed()) {
            return;
        }
        store.look(engines, nowMillis);
        boolean waits = false;
        for (String model : cold) {
            if (!underWay(model, engines, nowMillis)) {
                waits |= bring(spec.models().get(model), engines, cold, nowMillis) == Outcome.WAITS_FOR_TARGET;
            }
        }
        if (!waits && nowMillis - aheadMillis >= AHEAD_GAP_MILLIS) {
            aheadMillis = nowMillis;
            relieve(spec, engines, cold, crowded, nowMillis);
            if (cold.isEmpty()) {
                replicate(spec, engines, nowMillis);
            }
            fetchAhead(spec, engines, nowMillis);
        }
        for (EngineState engine : engines) {
            advance(engine, engines, cold, nowMillis);
        }
    }

    /** Loads a model that is waited for; where only a busy model is in its way, that one is loaded elsewhere first. */
    private Outcome bring(EngineModelSpec model, Collection<EngineState> engines, Set<String> cold, long nowMillis) {
        Tried before = tried.get(model.name());
        if (before != null && nowMillis - before.atMillis() < TRY_GAP_MILLIS) {
            return before.outcome();
        }
        Optional<LoadPlanner.Plan> plan =
                planner.plan(model, engines, cold, storeOpen(engines, 0, nowMillis), nowMillis);
        boolean dear = plan.isEmpty() || plan.get().fromStore();
        Outcome outcome = dear && clearTheWay(model, engines, cold, nowMillis)
                ? Outcome.WAITS_FOR_TARGET
                : begin(model, plan, WAITED_FOR, nowMillis);
        if (outcome == Outcome.NOT_POSSIBLE && !engines.isEmpty()) {
            notLoaded(model, engines, nowMillis);
        }
        tried.put(model.name(), new Tried(nowMillis, outcome));
        return outcome;
    }

    private boolean storeOpen(Collection<EngineState> engines, int spareLoads, long nowMillis) {
        return store.open(engines.size()) && budget.allows(nowMillis, spareLoads);
    }

    /**
     * Loads the busy model that alone keeps another from being loaded from a copy at some other target; tells whether that
     * is under way.
     */
    private boolean clearTheWay(
            EngineModelSpec model, Collection<EngineState> engines, Set<String> cold, long nowMillis) {
        for (EngineState engine : engines) {
            boolean usable = engine.takesWork(nowMillis) && engine.wantedModel.isEmpty() && !engine.loading(nowMillis);
            if (!usable || engine.loadsFromStore(model)) {
                continue;
            }
            Optional<String> blocking = planner.inTheWay(model, engine, nowMillis);
            if (blocking.isEmpty()) {
                continue;
            }
            List<EngineState> others =
                    engines.stream().filter(other -> other != engine).toList();
            EngineModelSpec moved = engine.spec.models().get(blocking.get());
            if (coming(moved.name(), others, nowMillis)
                    || begin(moved, planner.plan(moved, others, cold, false, nowMillis), MOVED, nowMillis)
                            == Outcome.BEGUN) {
                return true;
            }
        }
        return false;
    }

    /** Tells whether some target loads the model, or is about to. */
    private static boolean coming(String model, Collection<EngineState> engines, long nowMillis) {
        for (EngineState engine : engines) {
            Residency held = engine.models.get(model);
            boolean loading = held != null && !held.ready(nowMillis);
            if (engine.takesWork(nowMillis) && (loading || engine.wants(model))) {
                return true;
            }
        }
        return false;
    }

    /** Gives models whose targets are all full one more, where that costs others less than the wait. */
    private void relieve(
            EngineSpec spec,
            Collection<EngineState> engines,
            Set<String> cold,
            Map<String, Integer> crowded,
            long nowMillis) {
        crowded.forEach((name, waiting) -> {
            EngineModelSpec model = spec.models().get(name);
            if (!coming(name, engines, nowMillis)) {
                double worthMillis = REPLICA_WORTH_MILLIS + waiting * WORTH_MILLIS_PER_WAITING;
                addReplica(model, engines, cold, CROWDED, worthMillis, nowMillis);
            }
        });
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

    /** Begins a load that is planned, where its target is free. */
    private Outcome begin(EngineModelSpec model, Optional<LoadPlanner.Plan> plan, String why, long nowMillis) {
        if (plan.isEmpty()) {
            return Outcome.NOT_POSSIBLE;
        }
        if (!plan.get().now()) {
            return Outcome.WAITS_FOR_TARGET;
        }
        EngineState engine = plan.get().engine();
        engine.wantedModel = Optional.of(model.name());
        engine.wantedIsMoved = why.equals(MOVED);
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
        return Outcome.BEGUN;
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

    private void notLoaded(EngineModelSpec model, Collection<EngineState> engines, long nowMillis) {
        Long before = notLoadedMillis.get(model.name());
        if (before == null || nowMillis - before > SAME_LINE_MILLIS) {
            notLoadedMillis.put(model.name(), nowMillis);
            actions.decided(
                    "load-not-possible",
                    "model",
                    model.name(),
                    "storeOpen",
                    storeOpen(engines, 0, nowMillis),
                    "held",
                    held(engines, nowMillis));
        }
    }

    private void replicate(EngineSpec spec, Collection<EngineState> engines, long nowMillis) {
        for (EngineModelSpec model : spec.models().values()) {
            if (!demand.busy(model.name(), nowMillis)) {
                continue;
            }
            long replicas = engines.stream()
                    .filter(engine -> engine.takesWork(nowMillis) && engine.holdsOrWants(model.name()))
                    .count();
            if (replicas < REPLICAS_WHEN_BUSY) {
                addReplica(model, engines, Set.of(), BUSY, replicaWorthMillis(model, nowMillis), nowMillis);
            }
        }
    }

    /** Loads a model at one more target, from a copy there, where that costs no more than it is worth. */
    private void addReplica(
            EngineModelSpec model,
            Collection<EngineState> engines,
            Set<String> wanted,
            String why,
            double worthMillis,
            long nowMillis) {
        Optional<LoadPlanner.Plan> plan = planner.plan(model, engines, wanted, false, nowMillis)
                .filter(affordable -> affordable.costMillis() <= worthMillis);
        begin(model, plan, why, nowMillis);
    }

    private double replicaWorthMillis(EngineModelSpec model, long nowMillis) {
        return REPLICA_WORTH_MILLIS + WORTH_MILLIS_PER_REQUEST * demand.perSecond(model.name(), nowMillis);
    }

    /** Brings models that no target has a copy of to some target's disk, from where they load fast. */
    private void fetchAhead(EngineSpec spec, Collection<EngineState> engines, long nowMillis) {
        if (!storeOpen(engines, SPARE_LOADS, nowMillis) || engines.stream().anyMatch(EngineState::startsFromStore)) {
            return;
        }
        Set<String> busy = busy(spec, nowMillis);
        spec.models().values().stream()
                .filter(model -> engines.stream()
                        .noneMatch(engine -> engine.takesWork(nowMillis) && engine.hasCopy(model.name())))
                .filter(model -> !underWay(model.name(), engines, nowMillis))
                .max(Comparator.comparingDouble(model -> demand.perSecond(model.name(), nowMillis)))
                .ifPresent(
                        model -> begin(model, planner.plan(model, engines, busy, true, nowMillis), NO_COPY, nowMillis));
    }

    private Set<String> busy(EngineSpec spec, long nowMillis) {
        Set<String> busy = new HashSet<>();
        for (String model : spec.models().keySet()) {
            if (demand.busy(model, nowMillis)) {
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
        EngineModelSpec model = engine.spec.models().get(engine.wantedModel.get());
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
        Residency coming = new Residency(Residency.NOT_YET, Set.of());
        coming.staysUntilMillis = engine.wantedIsMoved ? nowMillis + MOVED_STAYS_MILLIS : 0;
        engine.models.put(model.name(), coming);
        orders.order(engine, EngineOrder.Kind.LOAD, model.name(), Optional.empty(), nowMillis);
    }
}
