package org.poplarwharf.internal.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.poplarwharf.internal.fleet.EngineModelSpec;
import org.poplarwharf.internal.fleet.EngineSpec;
import org.poplarwharf.internal.fleet.Target;

/**
 * Places the requests of one service with engines, and keeps its targets' models in step with demand.
 *
 * <p>Invariants: each wish gets one grant or one refusal, unless it is withdrawn; a granted run counts until it is
 * finished; a request is granted only at a target that is believed to hold its model and adapter. Confined to one
 * thread; time comes with each call.
 */
public final class Dispatcher {
    /** The least time in which a request can be sent and its first event come back. */
    private static final long LEAST_SERVICE_MILLIS = 60;

    /** A wish that found all its targets full waits for this share of its time, then leaves time for a return. */
    private static final double LONGEST_WAIT_SHARE = 0.6;

    private static final long RETURN_MILLIS = 400;

    /** Ends of runs come many at a time; what waits is looked at this often at the most for them. */
    private static final long LEAST_PUMP_GAP_MILLIS = 10;

    /** The rate that a model's replica is taken to stand for at first; about what justifies a replica. */
    private static final double EXPECTED_PER_SECOND = 0.5;

    private final Map<String, Waiting> waiting = new LinkedHashMap<>();
    private final Map<String, EngineState> engines = new LinkedHashMap<>();
    private final Map<String, EngineState> placeOf = new LinkedHashMap<>();
    private final Demand demand = new Demand();
    private final DispatchActions actions;
    private final EngineChooser chooser;
    private final Orders orders;
    private final AdapterKeeper adapters;
    private final ModelKeeper keeper;
    private EngineSpec spec;
    private final Set<String> cold = new HashSet<>();
    private final Map<String, Integer> crowded = new HashMap<>();
    private final Map<String, Long> readyMillisByModel = new HashMap<>();
    private long pumpedMillis = Long.MIN_VALUE / 2;
    private boolean demandExpected;

    private record Waiting(Wish wish, long sinceMillis) {}

    public Dispatcher(EngineSpec spec, LoadLimits limits, DispatchActions actions) {
        this.spec = spec;
        this.actions = actions;
        this.chooser = new EngineChooser();
        LoadBudget budget = new LoadBudget(spec.storeLoadsPerSecond(), limits.windowMillis(), limits.factor());
        this.orders = new Orders(budget, actions);
        this.adapters = new AdapterKeeper(orders);
        this.keeper = new ModelKeeper(demand, budget, orders, actions);
    }

    /** How many loads from the weight store may begin within a window. */
    public record LoadLimits(long windowMillis, double factor) {}

    /** Replaces what is known of the targets; one that is no longer listed is gone, with its runs. */
    public void targets(Collection<Target> latest, long nowMillis) {
        Set<String> listed = new HashSet<>();
        for (Target target : latest) {
            listed.add(target.id());
            EngineState known = engines.get(target.id());
            if (known != null && known.target.isSameIncarnation(target)) {
                known.checkedIn(target, nowMillis);
            } else {
                engines.put(target.id(), new EngineState(target, spec, nowMillis));
            }
        }
        engines.keySet().retainAll(listed);
        expectDemand(nowMillis);
        pump(nowMillis);
    }

    /** What many targets held before this node decided was in demand. */
    private void expectDemand(long nowMillis) {
        if (demandExpected || engines.isEmpty()) {
            return;
        }
        demandExpected = true;
        for (String model : spec.models().keySet()) {
            long replicas = engines.values().stream()
                    .filter(engine -> engine.models.containsKey(model))
                    .count();
            if (replicas > 1) {
                demand.expect(model, EXPECTED_PER_SECOND * replicas, nowMillis);
            }
        }
    }

    /** Takes a request in. */
    public void wish(Wish wish, long nowMillis) {
        wish.model().ifPresent(model -> demand.asked(model, nowMillis));
        Waiting each = new Waiting(wish, nowMillis);
        waiting.put(wish.key(), each);
        readyMillisByModel.clear();
        place(each, nowMillis);
        if (waiting.containsKey(wish.key())) {
            keeper.keep(spec, engines.values(), cold, crowded, nowMillis);
        }
    }

    /** Takes a request back, also where its grant is on its way to a node that no longer wants it. */
    public void withdraw(String key, long nowMillis) {
        waiting.remove(key);
        ended(key, nowMillis);
    }

    /** A granted request has its first event, or has ended. */
    public void finished(String key, RunOutcome outcome, long nowMillis) {
        EngineState engine = placeOf.get(key);
        EngineState.Run run = engine == null ? null : engine.running.get(key);
        if (run == null) {
            return;
        }
        switch (outcome) {
            case RunOutcome.Answered answered -> {
                engine.answered(run.estimateMillis(), answered.firstEventMillis(), nowMillis);
                return;
            }
            case RunOutcome.Declined declined -> orders.declined(engine, run.wish(), nowMillis);
            case RunOutcome.Broken broken -> engine.broke(nowMillis);
            case RunOutcome.Abandoned abandoned -> {
                // Says nothing of the target.
            }
        }
        ended(key, engine, run, nowMillis);
        pumpSoon(nowMillis);
    }

    /** A granted request has ended in order. */
    public void ended(String key, long nowMillis) {
        EngineState engine = placeOf.get(key);
        EngineState.Run run = engine == null ? null : engine.running.get(key);
        if (run != null) {
            ended(key, engine, run, nowMillis);
            pumpSoon(nowMillis);
        }
    }

    /** Takes a target's answer to an order. */
    public void ordered(EngineOrder order, OrderAnswer answer, long nowMillis) {
        EngineState engine = engines.get(order.target().id());
        if (engine != null && order.target().isSameIncarnation(engine.target)) {
            orders.ordered(engine, order, answer, nowMillis);
            pump(nowMillis);
        }
    }

    /** Takes a target's report; empty where it gave none. */
    public void reported(Target target, Optional<EngineReport> report, long nowMillis) {
        EngineState engine = engines.get(target.id());
        if (engine == null || !target.isSameIncarnation(engine.target)) {
            return;
        }
        engine.reportAsked = false;
        if (report.isPresent()) {
            engine.reported(report.get(), nowMillis);
        } else {
            engine.nextOrderMillis = nowMillis + RETURN_MILLIS;
        }
        pump(nowMillis);
    }

    /** Says whether orders may be given, that is, whether the lease holds. */
    public void ordersAllowed(boolean allowed) {
        orders.allowed(allowed);
    }

    /** Looks at everything again, since time has passed. */
    public void tick(long nowMillis) {
        pump(nowMillis);
    }

    /** Tells whether something waits for time to pass. */
    public boolean hasWork() {
        return !waiting.isEmpty()
                || engines.values().stream()
                        .anyMatch(engine -> engine.wantedModel.isPresent() || engine.loadingFromStore());
    }

    /** Takes a new description of the service's engines. */
    public void spec(EngineSpec latest) {
        spec = latest;
        engines.values().forEach(engine -> engine.spec = latest);
    }

    private void ended(String key, EngineState engine, EngineState.Run run, long nowMillis) {
        engine.end(key);
        placeOf.remove(key);
        Residency held = run.wish().model().map(engine.models::get).orElse(null);
        if (held == null) {
            return;
        }
        held.running = Math.max(0, held.running - 1);
        held.lastUsedMillis = nowMillis;
        run.wish().traits().adapter().map(held.adapters::get).ifPresent(use -> {
            use.running = Math.max(0, use.running - 1);
            use.lastUsedMillis = nowMillis;
        });
    }

    /** Looks at all that waits, unless that was done a moment ago; the next tick then does it. */
    private void pumpSoon(long nowMillis) {
        if (!waiting.isEmpty() && nowMillis - pumpedMillis >= LEAST_PUMP_GAP_MILLIS) {
            pump(nowMillis);
        }
    }

    private void pump(long nowMillis) {
        List<Waiting> ordered = new ArrayList<>(waiting.values());
        ordered.sort(Comparator.comparingInt((Waiting each) -> each.wish().priority())
                .thenComparing(each -> each.wish().objectiveMillis() < nowMillis)
                .thenComparingLong(each -> each.wish().deadlineMillis()));
        pumpedMillis = nowMillis;
        cold.clear();
        crowded.clear();
        readyMillisByModel.clear();
        for (Waiting each : ordered) {
            place(each, nowMillis);
        }
        keeper.keep(spec, engines.values(), cold, crowded, nowMillis);
    }

    private void place(Waiting each, long nowMillis) {
        Wish wish = each.wish();
        Optional<String> model = wish.model();
        if (model.isPresent() && !spec.models().containsKey(model.get())) {
            refuse(wish, "no-such-model", 0);
            return;
        }
        Optional<EngineChooser.Choice> choice = chooser.choose(wish, engines.values(), spec, nowMillis);
        if (choice.isPresent()) {
            take(wish, choice.get(), nowMillis);
            return;
        }
        model.ifPresent(name -> {
            if (servedFor(wish, name, nowMillis)) {
                crowded.merge(name, 1, Integer::sum);
            } else {
                cold.add(name);
            }
        });
        refuseIfTooLate(each, nowMillis);
    }

    /** Returns when the model can serve; the same for all requests that have not been to a target. */
    private long readyMillis(EngineModelSpec model, Wish wish, long nowMillis) {
        if (wish.excluded().isEmpty()) {
            return readyMillisByModel.computeIfAbsent(
                    model.name(), name -> keeper.readyMillis(model, engines.values(), nowMillis));
        }
        List<EngineState> usable = engines.values().stream()
                .filter(engine -> !wish.excluded().contains(engine.target.id()))
                .toList();
        return keeper.readyMillis(model, usable, nowMillis);
    }

    private boolean servedFor(Wish wish, String model, long nowMillis) {
        for (EngineState engine : engines.values()) {
            if (engine.models.containsKey(model)
                    && engine.takesWork(nowMillis)
                    && !wish.excluded().contains(engine.target.id())) {
                return true;
            }
        }
        return false;
    }

    private void refuseIfTooLate(Waiting each, long nowMillis) {
        Wish wish = each.wish();
        Optional<EngineModelSpec> model = wish.model().map(spec.models()::get);
        long readyMillis =
                model.map(known -> readyMillis(known, wish, nowMillis)).orElse(nowMillis);
        if (readyMillis + LEAST_SERVICE_MILLIS > wish.deadlineMillis()) {
            refuse(wish, "not-loaded-in-time", Math.max(RETURN_MILLIS, readyMillis - nowMillis));
            return;
        }
        long allowedWaitMillis = Math.round((wish.deadlineMillis() - each.sinceMillis()) * LONGEST_WAIT_SHARE);
        if (nowMillis - each.sinceMillis() <= allowedWaitMillis) {
            return;
        }
        if (readyMillis <= nowMillis) {
            refuse(wish, "targets-full", RETURN_MILLIS);
        } else if (model.isPresent() && !keeper.underWay(model.get().name(), engines.values(), nowMillis)) {
            refuse(wish, "no-room-to-load", RETURN_MILLIS);
        }
    }

    private void take(Wish wish, EngineChooser.Choice choice, long nowMillis) {
        EngineState engine = choice.engine();
        if (!choice.adapterReady()) {
            adapters.wantAdapter(engine, wish, nowMillis);
            return;
        }
        waiting.remove(wish.key());
        engine.start(new EngineState.Run(wish, choice.estimateMillis(), choice.tokens()));
        placeOf.put(wish.key(), engine);
        engine.reads(choice.prefillMillis(), nowMillis);
        wish.model().ifPresent(model -> {
            engine.prompts.granted(wish.traits().weightsName(), wish.traits().promptParts());
            Residency held = engine.models.get(model);
            held.running++;
            held.lastUsedMillis = nowMillis;
            wish.traits().adapter().map(held.adapters::get).ifPresent(use -> {
                use.running++;
                use.lastUsedMillis = nowMillis;
            });
        });
        Optional<Target> backup = wish.wantsBackup() && spec.supportsBackups()
                ? chooser.backup(wish, engine, engines.values(), nowMillis)
                : Optional.empty();
        actions.grant(wish, engine.target, backup);
    }

    private void refuse(Wish wish, String reason, long retryAfterMillis) {
        waiting.remove(wish.key());
        actions.refuse(wish, reason, retryAfterMillis);
    }
}
