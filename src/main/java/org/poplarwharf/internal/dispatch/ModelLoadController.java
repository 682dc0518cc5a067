package org.poplarwharf.internal.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.poplarwharf.internal.fleet.EngineModelSpec;
import org.poplarwharf.internal.fleet.EngineSpec;

/**
 * Adapts the models that targets hold to demand. Loads models that callers ask for and no target serves; further replicas
 * are up to {@link ReplicaController}.
 *
 * <p>Designed for more models than the targets can hold together, bursts of requests for some of them, and a weight
 * store that is slow compared with the copies on the targets' disks.
 *
 * <p>Invariant: a model is loaded only if it fits into the target's memory beside everything that the target may hold.
 * Confined to one thread.
 */
final class ModelLoadController {
    private static final String REASON_WAITED_FOR = "waited for";
    private static final String REASON_LONGEST_ASKED = "longest asked for";

    /** The interval of reports from a target that carries out an order of an earlier lease holder. */
    private static final long OTHER_ORDER_REPORT_INTERVAL_MILLIS = 500;

    /** A model that callers have asked for in vain for this long is loaded from a local copy before all others. */
    private static final long LONG_ASKED_MILLIS = 10_000;

    /** The minimum interval between attempts to load a model, even if other events occur in between. */
    private static final long MIN_ATTEMPT_INTERVAL_MILLIS = 15;

    /**
     * A pass over all missing models looks at each of them with each target. The interval grows by a millisecond for this
     * many pairs, so that passes leave most of the time of a small node to the requests and responses of the others.
     */
    private static final int PAIRS_PER_INTERVAL_MILLI = 40;

    /** The interval of replication and prefetching, which scan every model and target. */
    private static final long PREFETCH_INTERVAL_MILLIS = 200;

    private final UnservedDemand unserved;
    private final LoadPlanner planner;
    private final LoadStarter starter;
    private final LoadAdvancer advancer;
    private final ReplicaController replicas;
    private final EngineOrderController orders;
    private final Map<String, Attempt> lastAttempts = new HashMap<>();
    private boolean longAskedWaits;
    private long lastPassMillis = Long.MIN_VALUE / 2;
    private long lastPrefetchMillis = Long.MIN_VALUE / 2;
    private final FailedLoadLog failedLoads;

    /** When a load of a model was last tried. */
    private record Attempt(long atMillis, LoadStarter.Outcome outcome) {}

    ModelLoadController(
            DemandEstimator demand,
            UnservedDemand unserved,
            LoadRateLimiter loadRate,
            EngineOrderController orders,
            DispatchActions actions) {
        this.unserved = unserved;
        this.planner = new LoadPlanner(demand);
        this.starter = new LoadStarter(loadRate, actions);
        this.advancer = new LoadAdvancer(planner, loadRate, orders, actions);
        this.replicas = new ReplicaController(demand, planner, starter);
        this.orders = orders;
        this.failedLoads = new FailedLoadLog(demand, unserved, planner, actions);
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
                        : instance.isReady(nowMillis) ? nowMillis : instance.expectedReadyMillis(nowMillis);
                earliestMillis = Math.min(earliestMillis, readyMillis);
            }
            long freeMillis = Math.max(0, engine.loads.loadsDoneMillis(nowMillis) - nowMillis);
            fastestLoadMillis = Math.min(fastestLoadMillis, freeMillis + engine.loadMillis(model));
        }
        return earliestMillis == Long.MAX_VALUE ? nowMillis + fastestLoadMillis : earliestMillis;
    }

    /**
     * Plans the loads that are needed and sends the orders that are due.
     *
     * @param queuedByFullModel models whose targets are all full, with the number of queued requests
     */
    void reconcile(
            EngineSpec spec, Collection<EngineState> engines, Map<String, Integer> queuedByFullModel, long nowMillis) {
        Set<String> unservedModels = unserved.modelsInOrder(nowMillis);
        requestConfirmations(engines, nowMillis);
        if (!orders.isAllowed()) {
            return;
        }
        starter.updateStoreLimit(engines, nowMillis);
        boolean waitsForTarget = planMissingModels(spec, engines, unservedModels, nowMillis);
        if (!waitsForTarget && nowMillis - lastPrefetchMillis >= PREFETCH_INTERVAL_MILLIS) {
            lastPrefetchMillis = nowMillis;
            replicas.addReplicasOfFullModels(spec, engines, unservedModels, queuedByFullModel, nowMillis);
            if (unservedModels.isEmpty()) {
                replicas.replicateBusyModels(spec, engines, nowMillis);
            }
            replicas.prefetch(spec, engines, nowMillis);
        }
        for (EngineState engine : engines) {
            advancer.advance(engine, engines, unservedModels, nowMillis);
        }
    }

    /**
     * Plans, if it is the turn of these, a load from the store of the model that callers have asked for in vain for
     * longest. While that model waits for a target, no other one takes its turn.
     */
    private void planLongestAskedModel(
            EngineSpec spec, Collection<EngineState> engines, Set<String> unservedModels, long nowMillis) {
        if (!starter.isTurnOfLongestAsked() || !starter.storeAllowsLoad(engines, 0, nowMillis)) {
            return;
        }
        for (String name : unserved.modelsByWait(nowMillis)) {
            EngineModelSpec model = spec.models().get(name);
            if (model == null || isCovered(name, engines, nowMillis)) {
                continue;
            }
            Optional<LoadPlanner.Plan> plan = planner.plan(model, engines, unservedModels, true, nowMillis);
            if (plan.isEmpty() || !plan.get().fromStore()) {
                continue;
            }
            if (starter.startPlanned(model, plan, REASON_LONGEST_ASKED, nowMillis) == LoadStarter.Outcome.STARTED) {
                starter.endTurnOfLongestAsked();
            }
            return;
        }
        starter.endTurnOfLongestAsked();
    }

    /**
     * Plans loads, from local copies, of the models that callers have asked for in vain for long; the one asked for
     * earliest is first, whatever the others would serve.
     *
     * @return whether one of them waits for a target
     */
    private boolean planLongAskedModels(
            EngineSpec spec, Collection<EngineState> engines, Set<String> unservedModels, long nowMillis) {
        boolean waitsForTarget = false;
        for (String name : unserved.modelsByWait(nowMillis)) {
            if (unserved.askedInVainMillis(name, nowMillis) < LONG_ASKED_MILLIS) {
                break;
            }
            EngineModelSpec model = spec.models().get(name);
            if (model == null || !unservedModels.contains(name) || isCovered(name, engines, nowMillis)) {
                continue;
            }
            Optional<LoadPlanner.Plan> plan = planner.plan(model, engines, unservedModels, false, nowMillis);
            waitsForTarget |= starter.startPlanned(model, plan, REASON_LONGEST_ASKED, nowMillis)
                    == LoadStarter.Outcome.WAITS_FOR_TARGET;
        }
        return waitsForTarget;
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
        long attemptIntervalMillis =
                MIN_ATTEMPT_INTERVAL_MILLIS + (long) unservedModels.size() * engines.size() / PAIRS_PER_INTERVAL_MILLI;
        boolean isFullPass = nowMillis - lastPassMillis >= attemptIntervalMillis;
        if (isFullPass) {
            lastPassMillis = nowMillis;
            planLongestAskedModel(spec, engines, unservedModels, nowMillis);
            longAskedWaits = planLongAskedModels(spec, engines, unservedModels, nowMillis);
        }
        Set<String> coveredModels = coveredModels(engines, nowMillis);
        boolean waitsForTarget = false;
        boolean isBehindAnother = longAskedWaits;
        for (String model : unservedModels) {
            boolean isCovered = unserved.lacksAdapters(model, nowMillis)
                    ? isCovered(model, engines, nowMillis)
                    : coveredModels.contains(model);
            if (isCovered || !spec.models().containsKey(model)) {
                continue;
            }
            Attempt last = lastAttempts.get(model);
            boolean isRecent = last != null && nowMillis - last.atMillis() < attemptIntervalMillis;
            LoadStarter.Outcome outcome = isRecent ? last.outcome() : LoadStarter.Outcome.WAITS_FOR_TARGET;
            if (isFullPass || (!isRecent && !isBehindAnother)) {
                outcome = planMissingModel(spec.models().get(model), engines, unservedModels, nowMillis);
            }
            isBehindAnother |= outcome != LoadStarter.Outcome.STARTED;
            waitsForTarget |= outcome == LoadStarter.Outcome.WAITS_FOR_TARGET;
        }
        return waitsForTarget;
    }

    /** Plans the load of a model that callers ask for. If only a busy model blocks it, relocates that model first. */
    private LoadStarter.Outcome planMissingModel(
            EngineModelSpec model, Collection<EngineState> engines, Set<String> unservedModels, long nowMillis) {
        boolean storeAllowsLoad = starter.storeAllowsLoad(engines, 0, nowMillis) && !starter.isTurnOfLongestAsked();
        Optional<LoadPlanner.Plan> plan = planner.plan(model, engines, unservedModels, storeAllowsLoad, nowMillis);
        boolean isSlow = plan.isEmpty() || plan.get().fromStore();
        LoadStarter.Outcome outcome = isSlow && relocateBlockingModel(model, engines, unservedModels, nowMillis)
                ? LoadStarter.Outcome.WAITS_FOR_TARGET
                : starter.startPlanned(model, plan, REASON_WAITED_FOR, nowMillis);
        if (outcome != LoadStarter.Outcome.STARTED && !engines.isEmpty()) {
            failedLoads.log(model, engines, unservedModels, storeAllowsLoad, nowMillis);
        }
        lastAttempts.put(model.name(), new Attempt(nowMillis, outcome));
        return outcome;
    }

    /** Loads, at another target, a model that alone blocks a load from a local copy; returns whether that has begun. */
    private boolean relocateBlockingModel(
            EngineModelSpec model, Collection<EngineState> engines, Set<String> unservedModels, long nowMillis) {
        for (EngineState engine : engines) {
            boolean usable = engine.acceptsLoads(nowMillis)
                    && engine.loads.nextModel.isEmpty()
                    && !engine.loads.isLoading(nowMillis);
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
            if (ReplicaController.isLoadingOrNext(blockingSpec.name(), others, nowMillis)
                    || starter.startPlanned(
                                    blockingSpec,
                                    planner.plan(blockingSpec, others, unservedModels, false, nowMillis),
                                    LoadStarter.REASON_RELOCATED,
                                    nowMillis)
                            == LoadStarter.Outcome.STARTED) {
                return true;
            }
        }
        return false;
    }

    /** Requests reports from targets whose loads should be done but aren't confirmed. */
    private void requestConfirmations(Collection<EngineState> engines, long nowMillis) {
        for (EngineState engine : engines) {
            long sinceReportMillis = nowMillis - engine.reportRequestedMillis;
            boolean isDue = (engine.loads.hasUnconfirmedLoad(nowMillis)
                            && sinceReportMillis >= EngineOrderController.REPORT_INTERVAL_MILLIS)
                    || (engine.loads.isOccupiedByOtherOrder()
                            && sinceReportMillis >= OTHER_ORDER_REPORT_INTERVAL_MILLIS);
            if (isDue) {
                orders.requestReport(engine, nowMillis);
            }
        }
    }

    /** Lets the next pass try all missing models at once if a target has become free. */
    void recordFreedTarget(boolean isFreed) {
        lastPassMillis = isFreed ? Long.MIN_VALUE / 2 : lastPassMillis;
    }

    /** Logs that no target can load the adapter of a request in time. */
    void logUnloadableAdapter(DispatchRequest request, long waitMillis, long nowMillis) {
        failedLoads.logAdapter(
                request.model().orElse(""), request.traits().adapter().orElse(""), waitMillis, nowMillis);
    }

    /** Returns the models that targets hold or are about to, without those whose load is late. */
    private static Set<String> coveredModels(Collection<EngineState> engines, long nowMillis) {
        Set<String> covered = new HashSet<>();
        for (EngineState engine : engines) {
            if (!engine.acceptsRequests(nowMillis)) {
                continue;
            }
            engine.loads.nextModel.ifPresent(covered::add);
            for (String model : engine.models.keySet()) {
                if (!engine.loads.isLoadLate(model, nowMillis)) {
                    covered.add(model);
                }
            }
        }
        return covered;
    }

    /**
     * Returns whether callers of the model need no further load: a target holds it or is about to. One whose load is
     * late doesn't count; nor, where adapters were refused, one that can't load them now.
     */
    private boolean isCovered(String model, Collection<EngineState> engines, long nowMillis) {
        boolean lacksAdapters = unserved.lacksAdapters(model, nowMillis);
        for (EngineState engine : engines) {
            if (!engine.holdsOrLoadsNext(model) || !engine.acceptsRequests(nowMillis)) {
                continue;
            }
            boolean isBlocked = lacksAdapters && engine.isReady(model, nowMillis) && engine.loads.isLoading(nowMillis);
            if (!isBlocked && !engine.loads.isLoadLate(model, nowMillis)) {
                return true;
            }
        }
        return false;
    }
}
