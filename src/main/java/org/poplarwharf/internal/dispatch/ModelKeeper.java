package org.poplarwharf.internal.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.poplarwharf.internal.fleet.EngineSpec;
import org.poplarwharf.internal.fleet.ModelSpec;

/**
 * Gives the orders that keep targets' models and adapters in step with demand.
 *
 * <p>Invariants: one order at a time to a target; each names the orders that the target must have accepted before, so
 * that of two orders made for the same state at most one is carried out, however late; a model or adapter is ordered
 * only where it fits beside all that the target may hold. Confined to one thread.
 */
final class ModelKeeper {
    /** Asked for this often, a model gets a second replica, so that the loss of a target leaves one. */
    private static final double REPLICATE_PER_SECOND = 0.7;

    private static final int REPLICAS_WHEN_BUSY = 2;

    /** Loads ahead of demand leave this many of a window's loads for requests. */
    private static final int SPARE_LOADS = 3;

    /** At most this many models are fetched ahead of demand at once, so that loads for requests stay fast. */
    private static final int FETCHES_AT_ONCE = 3;

    /** After an answer that doesn't settle an order, the next one waits until the target has taken notice. */
    private static final long RETRY_ORDER_MILLIS = 30;

    /** An idle model is gone within this; until then a target takes no other order. */
    private static final long UNLOAD_MILLIS = 40;

    /** A target that is busy with the order before is done by then; after that its count of orders must differ. */
    private static final int CONFLICTS_UNTIL_REPORT = 6;

    /** Between two reports of one target while a load is awaited. */
    private static final long REPORT_GAP_MILLIS = 250;

    /** An adapter is loaded in less than this, over all but the busiest moments. */
    private static final long ADAPTER_READY_MILLIS = 8;

    /** An adapter that was used this recently makes no way. */
    private static final long ADAPTER_RECENT_MILLIS = 150;

    /** A model that the target declined is tried again after this. */
    private static final long DECLINED_MILLIS = 120;

    private final Demand demand;
    private final LoadBudget budget;
    private final LoadPlanner planner;
    private final DispatchActions actions;
    private boolean allowed;

    ModelKeeper(Demand demand, Dispatcher.LoadLimits limits, double storeLoadsPerSecond, DispatchActions actions) {
        this.demand = demand;
        this.budget = new LoadBudget(storeLoadsPerSecond, limits.windowMillis(), limits.factor());
        this.planner = new LoadPlanner(demand);
        this.actions = actions;
    }

    void ordersAllowed(boolean now) {
        allowed = now;
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
            nearestLoadMillis = Math.min(nearestLoadMillis, engine.loadMillis(model));
        }
        return best == Long.MAX_VALUE ? nowMillis + nearestLoadMillis : best;
    }

    /** Gives the orders that are due. */
    void keep(EngineSpec spec, Collection<EngineState> engines, Set<String> cold, long nowMillis) {
        confirm(engines, nowMillis);
        if (!allowed) {
            return;
        }
        for (String model : cold) {
            if (!underWay(model, engines, nowMillis)) {
                start(spec.models().get(model), engines, cold, 0, nowMillis);
            }
        }
        if (cold.isEmpty()) {
            replicate(spec, engines, nowMillis);
            fetchAhead(spec, engines, nowMillis);
        }
        for (EngineState engine : engines) {
            advance(engine, engines, cold, nowMillis);
        }
    }

    /** Loads the wish's adapter at a target that holds its model. */
    void wantAdapter(EngineState engine, Wish wish, long nowMillis) {
        String model = wish.model().orElseThrow();
        String adapter = wish.traits().adapter().orElseThrow();
        Residency held = engine.models.get(model);
        if (!allowed
                || held == null
                || held.adapters.containsKey(adapter)
                || engine.loading(nowMillis)
                || !mayOrder(engine, nowMillis)) {
            return;
        }
        ModelSpec spec = engine.spec.models().get(model);
        if (engine.adapterCount() >= engine.spec.adapterSlots() || engine.freeMb() < spec.adapterSizeMb()) {
            dropIdleAdapter(engine, nowMillis);
            return;
        }
        Residency.AdapterUse use = new Residency.AdapterUse();
        use.readyAtMillis = Residency.NOT_YET;
        use.lastUsedMillis = nowMillis;
        held.adapters.put(adapter, use);
        order(engine, EngineOrder.Kind.LOAD, model, Optional.of(adapter), nowMillis);
    }

    /** A target stated that it did not run a request: what it was believed to hold is doubted. */
    void declined(EngineState engine, Wish wish, long nowMillis) {
        Residency held = wish.model().map(engine.models::get).orElse(null);
        if (held == null) {
            return;
        }
        held.readyAtMillis = Math.max(held.readyAtMillis, nowMillis + DECLINED_MILLIS);
        wish.traits()
                .adapter()
                .map(held.adapters::get)
                .ifPresent(use -> use.readyAtMillis = nowMillis + DECLINED_MILLIS);
        askReport(engine, nowMillis);
    }

    void ordered(EngineState engine, EngineOrder order, OrderAnswer answer, long nowMillis) {
        engine.orderUnderWay = Optional.empty();
        Residency held = engine.models.get(order.model());
        switch (answer) {
            case ACCEPTED, HOLDS -> {
                count(engine, order, nowMillis);
                engine.lastOrderMillis = nowMillis;
                engine.conflictsInRow = 0;
                engine.leaving = Optional.empty();
                engine.ordersAccepted = OptionalLong.of(order.ordersAccepted() + 1);
                settled(engine, order, held, nowMillis);
            }
            case CONFLICT -> {
                undo(engine, order, held);
                engine.conflictsInRow++;
                engine.nextOrderMillis = nowMillis + RETRY_ORDER_MILLIS;
                if (engine.conflictsInRow >= CONFLICTS_UNTIL_REPORT) {
                    askReport(engine, nowMillis);
                }
            }
            case UNKNOWN, REFUSED -> {
                count(engine, order, nowMillis);
                undo(engine, order, held);
                engine.nextOrderMillis = nowMillis + RETRY_ORDER_MILLIS;
                askReport(engine, nowMillis);
            }
        }
    }

    /** Counts a load that has begun, or may begin. */
    private void count(EngineState engine, EngineOrder order, long nowMillis) {
        boolean load = order.kind() == EngineOrder.Kind.LOAD && order.adapter().isEmpty();
        if (load && fromStore(engine, engine.spec.models().get(order.model()))) {
            budget.begin(nowMillis);
        }
    }

    private static boolean fromStore(EngineState engine, ModelSpec model) {
        return engine.loadMillis(model) >= model.storeLoadMillis();
    }

    private void settled(EngineState engine, EngineOrder order, Residency held, long nowMillis) {
        if (order.adapter().isPresent()) {
            if (order.kind() == EngineOrder.Kind.LOAD && held != null) {
                Residency.AdapterUse use = held.adapters.get(order.adapter().get());
                if (use != null) {
                    use.readyAtMillis = nowMillis + ADAPTER_READY_MILLIS;
                }
            }
            return;
        }
        if (order.kind() == EngineOrder.Kind.UNLOAD) {
            engine.prompts.unloaded(order.model());
            engine.nextOrderMillis = nowMillis + UNLOAD_MILLIS;
            return;
        }
        engine.wantedModel = Optional.empty();
        if (held != null) {
            ModelSpec spec = engine.spec.models().get(order.model());
            long loadMillis = engine.loadMillis(spec);
            held.readyAtMillis = nowMillis + loadMillis;
            held.unconfirmed = loadMillis >= spec.storeLoadMillis();
            held.lastUsedMillis = nowMillis;
        }
        engine.inMemory.add(order.model());
        engine.onDisk.add(order.model());
    }

    /** What an order without effect had set out to change is as before, for as long as no order is accepted. */
    private static void undo(EngineState engine, EngineOrder order, Residency held) {
        if (order.kind() == EngineOrder.Kind.UNLOAD) {
            if (order.adapter().isPresent()) {
                if (held != null) {
                    held.adapters.put(order.adapter().get(), new Residency.AdapterUse());
                }
            } else {
                engine.leaving.ifPresent(before -> engine.models.put(order.model(), before));
                engine.leaving = Optional.empty();
            }
            return;
        }
        if (order.kind() == EngineOrder.Kind.LOAD && held != null) {
            if (order.adapter().isPresent()) {
                held.adapters.remove(order.adapter().get());
            } else {
                engine.models.remove(order.model());
            }
        }
    }

    private void confirm(Collection<EngineState> engines, long nowMillis) {
        for (EngineState engine : engines) {
            boolean due = engine.models.values().stream()
                    .anyMatch(held -> held.unconfirmed && held.readyAtMillis <= nowMillis);
            if (due && nowMillis - engine.reportAskedMillis >= REPORT_GAP_MILLIS) {
                askReport(engine, nowMillis);
            }
        }
    }

    private static boolean underWay(String model, Collection<EngineState> engines, long nowMillis) {
        return engines.stream()
                .anyMatch(engine -> engine.takesWork(nowMillis)
                        && (engine.models.containsKey(model)
                                || engine.wantedModel.filter(model::equals).isPresent()));
    }

    private boolean start(
            ModelSpec model, Collection<EngineState> engines, Set<String> wanted, int spareLoads, long nowMillis) {
        Optional<LoadPlanner.Plan> plan = planner.plan(model, engines, wanted, nowMillis);
        if (plan.isEmpty() || (plan.get().fromStore() && !budget.allows(nowMillis, spareLoads))) {
            return false;
        }
        plan.get().engine().wantedModel = Optional.of(model.name());
        return true;
    }

    private void replicate(EngineSpec spec, Collection<EngineState> engines, long nowMillis) {
        for (ModelSpec model : spec.models().values()) {
            if (demand.perSecond(model.name(), nowMillis) < REPLICATE_PER_SECOND) {
                continue;
            }
            long replicas = engines.stream()
                    .filter(engine -> engine.takesWork(nowMillis)
                            && (engine.models.containsKey(model.name())
                                    || engine.wantedModel
                                            .filter(model.name()::equals)
                                            .isPresent()))
                    .count();
            if (replicas < REPLICAS_WHEN_BUSY) {
                start(model, engines, Set.of(), SPARE_LOADS, nowMillis);
            }
        }
    }

    /** Brings models that no target has a copy of to some target's disk, from where they load fast. */
    private void fetchAhead(EngineSpec spec, Collection<EngineState> engines, long nowMillis) {
        long fetching = engines.stream()
                .filter(engine -> engine.wantedModel.isPresent()
                        || engine.models.values().stream().anyMatch(held -> held.unconfirmed))
                .count();
        for (ModelSpec model : spec.models().values()) {
            if (fetching >= FETCHES_AT_ONCE) {
                return;
            }
            if (engines.stream().noneMatch(engine -> engine.hasCopy(model.name()))
                    && !underWay(model.name(), engines, nowMillis)
                    && start(model, engines, busy(spec, nowMillis), SPARE_LOADS, nowMillis)) {
                fetching++;
            }
        }
    }

    private Set<String> busy(EngineSpec spec, long nowMillis) {
        Set<String> busy = new HashSet<>();
        for (String model : spec.models().keySet()) {
            if (demand.perSecond(model, nowMillis) >= REPLICATE_PER_SECOND) {
                busy.add(model);
            }
        }
        return busy;
    }

    /** Takes the next step towards the model that a target is to load. */
    private void advance(EngineState engine, Collection<EngineState> engines, Set<String> cold, long nowMillis) {
        if (engine.wantedModel.isEmpty() || !mayOrder(engine, nowMillis)) {
            return;
        }
        ModelSpec model = engine.spec.models().get(engine.wantedModel.get());
        Optional<Iterable<String>> victims =
                planner.victims(model, engine, engines, cold, nowMillis).map(list -> list);
        if (victims.isEmpty() || engine.models.containsKey(model.name())) {
            engine.wantedModel = Optional.empty();
            return;
        }
        for (String victim : victims.get()) {
            engine.leaving = Optional.of(engine.models.remove(victim));
            order(engine, EngineOrder.Kind.UNLOAD, victim, Optional.empty(), nowMillis);
            return;
        }
        if (fromStore(engine, model) && !budget.allows(nowMillis, 0)) {
            return;
        }
        engine.models.put(model.name(), new Residency(Residency.NOT_YET, Set.of()));
        order(engine, EngineOrder.Kind.LOAD, model.name(), Optional.empty(), nowMillis);
    }

    private boolean mayOrder(EngineState engine, long nowMillis) {
        if (engine.orderUnderWay.isPresent() || engine.nextOrderMillis > nowMillis) {
            return false;
        }
        if (engine.ordersAccepted.isEmpty()) {
            if (nowMillis - engine.reportAskedMillis >= REPORT_GAP_MILLIS || engine.reportAskedMillis == 0) {
                askReport(engine, nowMillis);
            }
            return false;
        }
        return true;
    }

    private void dropIdleAdapter(EngineState engine, long nowMillis) {
        /** An adapter that no request uses. */
        record Idle(String model, String adapter, Residency.AdapterUse use) {}

        Optional<Idle> oldest = engine.models.entrySet().stream()
                .flatMap(held -> held.getValue().adapters.entrySet().stream()
                        .map(entry -> new Idle(held.getKey(), entry.getKey(), entry.getValue())))
                .filter(idle -> idle.use().running == 0
                        && idle.use().readyAtMillis <= nowMillis
                        && (idle.use().lastUsedMillis == 0
                                || nowMillis - idle.use().lastUsedMillis > ADAPTER_RECENT_MILLIS))
                .min(Comparator.comparingLong(idle -> idle.use().lastUsedMillis));
        if (oldest.isEmpty()) {
            return;
        }
        engine.models.get(oldest.get().model()).adapters.remove(oldest.get().adapter());
        order(
                engine,
                EngineOrder.Kind.UNLOAD,
                oldest.get().model(),
                Optional.of(oldest.get().adapter()),
                nowMillis);
    }

    private void askReport(EngineState engine, long nowMillis) {
        if (engine.reportAsked) {
            return;
        }
        engine.reportAsked = true;
        engine.reportAskedMillis = nowMillis;
        actions.askReport(engine.target);
    }

    private void order(
            EngineState engine, EngineOrder.Kind kind, String model, Optional<String> adapter, long nowMillis) {
        EngineOrder order = new EngineOrder(engine.target, kind, model, adapter, engine.ordersAccepted.orElseThrow());
        engine.orderUnderWay = Optional.of(order);
        engine.lastOrderMillis = nowMillis;
        actions.order(order);
    }
}
