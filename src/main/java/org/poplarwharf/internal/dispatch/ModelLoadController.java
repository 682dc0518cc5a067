package org.poplarwharf.internal.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.poplarwharf.internal.fleet.EngineModelSpec;
import org.poplarwharf.internal.fleet.EngineSpec;

/**
 * Adapts the models that targets hold to demand. Loads models that requests wait for, adds a second replica of busy
 * models and one more of models whose targets are full, and prefetches models that no target has a copy of.
 *
 * <p>Designed for more models than the targets can hold together, bursts of requests for some of them, and a weight
 * store that is slow compared with the copies on the targets' disks.
 *
 * <p>Invariant: a model is loaded only if it fits into the target's memory beside everything that the target may hold.
 * Confined to one thread.
 */
final class ModelLoadController {
    private static final String REASON_WAITED_FOR = "waited for";
    private static final String REASON_NO_COPY = "no copy";
    private static final String REASON_BUSY = "busy";
    private static final String REASON_TARGETS_FULL = "targets full";
    private static final String REASON_RELOCATED = "in the way of another";

    /** The maximum cost of one more replica without extra demand: its own load, and almost no delay for others. */
    private static final double BASE_REPLICA_COST_MILLIS = 900;

    /** Increase of that cost per request per second: these requests lose their streams with the only replica. */
    private static final double REPLICA_COST_PER_REQUEST_RATE_MILLIS = 500;

    /** Increase of that cost per queued request, about its extra wait; responses take a second or two. */
    private static final double REPLICA_COST_PER_QUEUED_MILLIS = 1_000;

    /** A busy model gets a second replica, so that one is left if a target is lost. */
    private static final int MIN_BUSY_REPLICA_COUNT = 2;

    /** Prefetches leave this many of a window's loads for models that requests wait for. */
    private static final int RESERVED_LOAD_COUNT = 3;

    /** A relocated model isn't evicted for this long: its load, and the end of its streams at the old target. */
    private static final long RELOCATION_PROTECTION_MILLIS = 4_000;

    /** The minimum interval between attempts to load a model, even if other events occur in between. */
    private static final long ATTEMPT_INTERVAL_MILLIS = 15;

    /** The interval of replication and prefetching, which scan every model and target. */
    private static final long PREFETCH_INTERVAL_MILLIS = 200;

    private final DemandEstimator demand;
    private final LoadRateLimiter loadRate;
    private final LoadPlanner planner;
    private final DispatchActions actions;
    private final EngineOrderController orders;
    private final StoreConcurrencyLimit storeConcurrency = new StoreConcurrencyLimit();
    private final Map<String, Attempt> lastAttempts = new HashMap<>();
    private long lastPassMillis = Long.MIN_VALUE / 2;
    private long lastPrefetchMillis = Long.MIN_VALUE / 2;
    private final FailedLoadLog failedLoads;

    /** The outcome of an attempt to load a model. */
    private enum Outcome {
        STARTED,
        WAITS_FOR_TARGET,
        NOT_POSSIBLE
    }

    private record Attempt(long atMillis, Outcome outcome) {}

    ModelLoadController(
            DemandEstimator demand, LoadRateLimiter loadRate, EngineOrderController orders, DispatchActions actions) {
        this.demand = demand;
        this.loadRate = loadRate;
        this.planner = new LoadPlanner(demand);
        this.orders = orders;
        this.actions = actions;
        this.failedLoads = new FailedLoadLog(demand, actions);
    }

    /** Returns the estimated time at which a model can serve its next request. */
    long readyMillis(EngineModelSpec model, Collection<EngineState> engines, long nowMillis) {
        long earliestMillis = Long.MAX_VALUE;
        long fastestLoadMillis = model.storeLoadMillis();
        for (EngineState engine : engines) {
            if (!engine.acceptsRequests(nowMillis)) {
                continue;
            }
            ModelInstance instance = engine.models.get(model.name());
            if (instance != null) {
                long readyMillis = instance.readyAtMillis == ModelInstance.UNKNOWN_MILLIS
                        ? nowMillis + engine.loadMillis(model)
                        : Math.max(nowMillis, instance.readyAtMillis);
                earliestMillis = Math.min(earliestMillis, readyMillis);
            }
            long freeMillis = Math.max(0, engine.loadsDoneMillis(nowMillis) - nowMillis);
            fastestLoadMillis = Math.min(fastestLoadMillis, freeMillis + engine.loadMillis(model));
        }
        return earliestMillis == Long.MAX_VALUE ? nowMillis + fastestLoadMillis : earliestMillis;
    }

    /**
     * Plans the loads that are needed and sends the orders that are due.
     *
     * @param unservedModels models that callers ask for and no target serves, in the order in which to load them
     * @param queuedByFullModel models whose targets are all full, with the number of queued requests
     */
    void reconcile(
            EngineSpec spec,
            Collection<EngineState> engines,
            Set<String> unservedModels,
            Map<String, Integer> queuedByFullModel,
            long nowMillis) {
        requestConfirmations(engines, nowMillis);
        if (!orders.isAllowed()) {
            return;
        }
        storeConcurrency.update(engines, nowMillis);
        boolean waitsForTarget = planMissingModels(spec, engines, unservedModels, nowMillis);
        if (!waitsForTarget && nowMillis - lastPrefetchMillis >= PREFETCH_INTERVAL_MILLIS) {
            lastPrefetchMillis = nowMillis;
            addReplicasOfFullModels(spec, engines, unservedModels, queuedByFullModel, nowMillis);
            if (unservedModels.isEmpty()) {
                replicateBusyModels(spec, engines, nowMillis);
            }
            prefetch(spec, engines, nowMillis);
        }
        for (EngineState engine : engines) {
            advanceLoad(engine, engines, unservedModels, nowMillis);
        }
    }

    /**
     * Plans loads of the models that no target holds or is to load, in order. Between two full passes only models that
     * were not tried lately are tried, and only while none before them waits, so that no model takes a target from one
     * that comes before it.
     *
     * @return whether one of them waits for a target
     */
    private boolean planMissingModels(
            EngineSpec spec, Collection<EngineState> engines, Set<String> unservedModels, long nowMillis) {
        boolean isFullPass = nowMillis - lastPassMillis >= ATTEMPT_INTERVAL_MILLIS;
        if (isFullPass) {
            lastPassMillis = nowMillis;
        }
        boolean waitsForTarget = false;
        boolean isBehindAnother = false;
        for (String model : unservedModels) {
            if (!spec.models().containsKey(model) || isHeldOrLoading(model, engines, nowMillis)) {
                continue;
            }
            Attempt last = lastAttempts.get(model);
            boolean isRecent = last != null && nowMillis - last.atMillis() < ATTEMPT_INTERVAL_MILLIS;
            Outcome outcome = isRecent ? last.outcome() : Outcome.WAITS_FOR_TARGET;
            if (isFullPass || (!isRecent && !isBehindAnother)) {
                outcome = planMissingModel(spec.models().get(model), engines, unservedModels, nowMillis);
            }
            isBehindAnother |= outcome != Outcome.STARTED;
            waitsForTarget |= outcome == Outcome.WAITS_FOR_TARGET;
        }
        return waitsForTarget;
    }

    /** Plans the load of a model that callers ask for. If only a busy model blocks it, relocates that model first. */
    private Outcome planMissingModel(
            EngineModelSpec model, Collection<EngineState> engines, Set<String> unservedModels, long nowMillis) {
        Optional<LoadPlanner.Plan> plan =
                planner.plan(model, engines, unservedModels, storeAllowsLoad(engines, 0, nowMillis), nowMillis);
        boolean isSlow = plan.isEmpty() || plan.get().fromStore();
        Outcome outcome = isSlow && relocateBlockingModel(model, engines, unservedModels, nowMillis)
                ? Outcome.WAITS_FOR_TARGET
                : startPlanned(model, plan, REASON_WAITED_FOR, nowMillis);
        if (outcome == Outcome.NOT_POSSIBLE && !engines.isEmpty()) {
            failedLoads.log(model, engines, storeAllowsLoad(engines, 0, nowMillis), nowMillis);
        }
        lastAttempts.put(model.name(), new Attempt(nowMillis, outcome));
        return outcome;
    }

    private boolean storeAllowsLoad(Collection<EngineState> engines, int reservedLoads, long nowMillis) {
        return storeConcurrency.allowsLoad(engines.size()) && loadRate.allows(nowMillis, reservedLoads);
    }

    /** Loads, at another target, a model that alone blocks a load from a local copy; returns whether that has begun. */
    private boolean relocateBlockingModel(
            EngineModelSpec model, Collection<EngineState> engines, Set<String> unservedModels, long nowMillis) {
        for (EngineState engine : engines) {
            boolean usable =
                    engine.acceptsLoads(nowMillis) && engine.nextModel.isEmpty() && !engine.isLoading(nowMillis);
            if (!usable || engine.loadsFromStore(model)) {
                continue;
            }
            Optional<String> blockingModel = planner.blockingModel(model, engine, nowMillis);
            if (blockingModel.isEmpty()) {
                continue;
            }
            List<EngineState> others =
                    engines.stream().filter(other -> other != engine).toList();
            EngineModelSpec blockingSpec = engine.spec.models().get(blockingModel.get());
            if (isLoadingOrNext(blockingSpec.name(), others, nowMillis)
                    || startPlanned(
                                    blockingSpec,
                                    planner.plan(blockingSpec, others, unservedModels, false, nowMillis),
                                    REASON_RELOCATED,
                                    nowMillis)
                            == Outcome.STARTED) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a target is loading the model or is to load it next. */
    private static boolean isLoadingOrNext(String model, Collection<EngineState> engines, long nowMillis) {
        for (EngineState engine : engines) {
            ModelInstance instance = engine.models.get(model);
            boolean isLoading = instance != null && !instance.isReady(nowMillis);
            if (engine.acceptsRequests(nowMillis) && (isLoading || engine.loadsNext(model))) {
                return true;
            }
        }
        return false;
    }

    /** Adds a replica of models whose targets are all full, if that costs other requests less than the wait. */
    private void addReplicasOfFullModels(
            EngineSpec spec,
            Collection<EngineState> engines,
            Set<String> unservedModels,
            Map<String, Integer> queuedByFullModel,
            long nowMillis) {
        queuedByFullModel.forEach((name, queuedCount) -> {
            EngineModelSpec model = spec.models().get(name);
            if (!isLoadingOrNext(name, engines, nowMillis)) {
                double maxCostMillis = BASE_REPLICA_COST_MILLIS + queuedCount * REPLICA_COST_PER_QUEUED_MILLIS;
                addReplica(model, engines, unservedModels, REASON_TARGETS_FULL, maxCostMillis, nowMillis);
            }
        });
    }

    /** Requests reports from targets whose loads should be done but aren't confirmed. */
    private void requestConfirmations(Collection<EngineState> engines, long nowMillis) {
        for (EngineState engine : engines) {
            if (engine.hasUnconfirmedLoad(nowMillis)
                    && nowMillis - engine.reportRequestedMillis >= EngineOrderController.REPORT_INTERVAL_MILLIS) {
                orders.requestReport(engine, nowMillis);
            }
        }
    }

    /** Returns whether a target holds the model, is loading it, or is to load it next. */
    boolean isHeldOrLoading(String model, Collection<EngineState> engines, long nowMillis) {
        for (EngineState engine : engines) {
            if (engine.holdsOrLoadsNext(model) && engine.acceptsRequests(nowMillis)) {
                return true;
            }
        }
        return false;
    }

    /** Starts a planned load if its target is free. */
    private Outcome startPlanned(
            EngineModelSpec model, Optional<LoadPlanner.Plan> plan, String reason, long nowMillis) {
        if (plan.isEmpty()) {
            return Outcome.NOT_POSSIBLE;
        }
        if (!plan.get().startsNow()) {
            return Outcome.WAITS_FOR_TARGET;
        }
        EngineState engine = plan.get().engine();
        engine.nextModel = Optional.of(model.name());
        engine.nextIsRelocation = reason.equals(REASON_RELOCATED);
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

    /** Adds a replica of busy models that have only one. */
    private void replicateBusyModels(EngineSpec spec, Collection<EngineState> engines, long nowMillis) {
        for (EngineModelSpec model : spec.models().values()) {
            if (!demand.isBusy(model.name(), nowMillis)) {
                continue;
            }
            long replicas = engines.stream()
                    .filter(engine -> engine.acceptsRequests(nowMillis) && engine.holdsOrLoadsNext(model.name()))
                    .count();
            if (replicas < MIN_BUSY_REPLICA_COUNT) {
                addReplica(model, engines, Set.of(), REASON_BUSY, maxReplicaCostMillis(model, nowMillis), nowMillis);
            }
        }
    }

    /** Loads a model from a local copy at one more target, if that costs no more than the given maximum. */
    private void addReplica(
            EngineModelSpec model,
            Collection<EngineState> engines,
            Set<String> protectedModels,
            String reason,
            double maxCostMillis,
            long nowMillis) {
        Optional<LoadPlanner.Plan> plan = planner.plan(model, engines, protectedModels, false, nowMillis)
                .filter(affordable -> affordable.costMillis() <= maxCostMillis);
        startPlanned(model, plan, reason, nowMillis);
    }

    private double maxReplicaCostMillis(EngineModelSpec model, long nowMillis) {
        return BASE_REPLICA_COST_MILLIS
                + REPLICA_COST_PER_REQUEST_RATE_MILLIS * demand.requestsPerSecond(model.name(), nowMillis);
    }

    /** Loads the most requested model that no target has a copy of; later loads from its disk copy are fast. */
    private void prefetch(EngineSpec spec, Collection<EngineState> engines, long nowMillis) {
        if (!storeAllowsLoad(engines, RESERVED_LOAD_COUNT, nowMillis)
                || engines.stream().anyMatch(EngineState::nextLoadsFromStore)) {
            return;
        }
        Set<String> busyModels = busyModels(spec, nowMillis);
        spec.models().values().stream()
                .filter(model -> engines.stream()
                        .noneMatch(engine -> engine.acceptsRequests(nowMillis) && engine.hasCopy(model.name())))
                .filter(model -> !isHeldOrLoading(model.name(), engines, nowMillis))
                .max(Comparator.comparingDouble(model -> demand.requestsPerSecond(model.name(), nowMillis)))
                .ifPresent(model -> startPlanned(
                        model, planner.plan(model, engines, busyModels, true, nowMillis), REASON_NO_COPY, nowMillis));
    }

    private Set<String> busyModels(EngineSpec spec, long nowMillis) {
        Set<String> busyModels = new HashSet<>();
        for (String model : spec.models().keySet()) {
            if (demand.isBusy(model, nowMillis)) {
                busyModels.add(model);
            }
        }
        return busyModels;
    }

    /** Takes the next step towards loading the target's next model: drains, evicts, then sends the load order. */
    private void advanceLoad(
            EngineState engine, Collection<EngineState> engines, Set<String> unservedModels, long nowMillis) {
        if (engine.nextModel.isEmpty() || !orders.canOrder(engine, nowMillis)) {
            return;
        }
        EngineModelSpec model = engine.spec.models().get(engine.nextModel.get());
        Optional<List<String>> victims = model == null
                ? Optional.empty()
                : planner.victims(model, engine, ReplicaCounts.count(engines, nowMillis), unservedModels, nowMillis);
        if (victims.isEmpty() || engine.models.containsKey(model.name())) {
            engine.cancelNextLoad();
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
        loading.protectedUntilMillis = engine.nextIsRelocation ? nowMillis + RELOCATION_PROTECTION_MILLIS : 0;
        engine.models.put(model.name(), loading);
        orders.sendOrder(engine, EngineOrder.Kind.LOAD, model.name(), Optional.empty(), nowMillis);
    }
}
