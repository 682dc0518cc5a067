package org.poplarwharf.internal.dispatch;

import java.util.Collection;
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
import org.poplarwharf.internal.limit.TargetLimits;

/**
 * Places the requests of one service at engines, and adapts the models that its targets hold to demand.
 *
 * <p>Invariants: each request gets exactly one grant or one refusal unless it is withdrawn; a granted run occupies its
 * target until it ends; a request is granted only at a target that holds its model and adapter according to its known
 * state. Confined to one thread; the current time is passed with each call.
 */
public final class Dispatcher {
    /** The minimum time from sending a request to its first event. */
    static final long MIN_SERVICE_MILLIS = 60;

    /** Runs often end in bursts; after the end of a run, queued requests are placed again at most this often. */
    private static final long MIN_PLACEMENT_INTERVAL_MILLIS = 10;

    private final Map<String, QueuedRequest> queued = new LinkedHashMap<>();
    private final Map<String, EngineState> engines = new LinkedHashMap<>();
    private final Map<String, EngineState> engineByKey = new LinkedHashMap<>();
    private final DemandEstimator demand = new DemandEstimator();
    private final DispatchActions actions;
    private final TargetLimits targetLimits;
    private final TargetSpeeds speeds;
    private final RequestNodes nodes;
    private final EngineSelector selector;
    private final WaitingPolicy waitingPolicy;
    private final EngineOrderController orders;
    private final AdapterLoader adapterLoader;
    private final ModelLoadController modelLoads;
    private EngineSpec spec;
    private final UnservedDemand unserved = new UnservedDemand(demand);
    private final Map<String, Integer> queuedByFullModel = new HashMap<>();
    private final Map<String, Long> readyMillisByModel = new HashMap<>();
    private long lastPlacementMillis = Long.MIN_VALUE / 2;

    /**
     * Creates a dispatcher without targets.
     *
     * @param ranksByCost whether requests that must wait, or be refused, are chosen by what that costs their callers
     */
    public Dispatcher(
            EngineSpec spec,
            LoadLimits limits,
            TargetLimits targetLimits,
            TargetSpeeds speeds,
            RequestNodes nodes,
            DispatchActions actions,
            boolean ranksByCost) {
        this.spec = spec;
        this.waitingPolicy = ranksByCost ? new CostWaitingPolicy(actions) : new UrgencyWaitingPolicy();
        this.actions = actions;
        this.targetLimits = targetLimits;
        this.speeds = speeds;
        this.nodes = nodes;
        this.selector = new EngineSelector(targetLimits);
        LoadRateLimiter loadRate =
                new LoadRateLimiter(spec.storeLoadsPerSecond(), limits.windowMillis(), limits.rateFactor());
        this.orders = new EngineOrderController(loadRate, actions);
        this.adapterLoader = new AdapterLoader(orders);
        this.modelLoads = new ModelLoadController(demand, unserved, loadRate, orders, actions);
    }

    /** Limits the loads from the weight store that start within a window to the store's rate times a factor. */
    public record LoadLimits(long windowMillis, double rateFactor) {}

    /** Replaces the known targets. A target that is no longer listed is removed together with its runs. */
    public void updateTargets(Collection<Target> latest, long nowMillis) {
        Set<String> listedIds = new HashSet<>();
        for (Target target : latest) {
            listedIds.add(target.id());
            EngineState known = engines.get(target.id());
            if (known != null && known.target.isSameIncarnation(target)) {
                known.updateFromHeartbeat(target, nowMillis);
            } else {
                engines.put(target.id(), new EngineState(target, spec, speeds, nodes, nowMillis));
            }
        }
        engines.keySet().retainAll(listedIds);
        demand.seedOnce(spec, engines.values(), nowMillis);
        placeQueued(nowMillis);
    }

    /** Grants, refuses or queues a request. One that was granted before, to a node that has not heard of it, starts anew. */
    public void submit(DispatchRequest request, long nowMillis) {
        endRun(request.key(), nowMillis);
        request.model().ifPresent(model -> demand.recordRequest(model, nowMillis));
        QueuedRequest queuedRequest = waitingPolicy.accept(request, nowMillis);
        queued.put(request.key(), queuedRequest);
        readyMillisByModel.clear();
        if (waitingPolicy.mayPlaceAtOnce(queuedRequest, queued.size())) {
            place(queuedRequest, nowMillis);
        } else {
            placeQueuedSoon(nowMillis);
        }
        if (!engineByKey.containsKey(request.key())) {
            modelLoads.reconcile(spec, engines.values(), queuedByFullModel, nowMillis);
        }
    }

    /** Withdraws a request. Also ends its run if the request was granted before the withdrawal arrived. */
    public void withdraw(String key, long nowMillis) {
        queued.remove(key);
        endRun(key, nowMillis);
    }

    /** Records the first event of a granted request, or its end. */
    public void recordOutcome(String key, RunOutcome outcome, long nowMillis) {
        EngineState engine = engineByKey.get(key);
        EngineState.Run run = engine == null ? null : engine.runs.get(key);
        if (run == null) {
            return;
        }
        switch (outcome) {
            case RunOutcome.FirstEventReceived received -> {
                engine.recordFirstEvent(run, received.firstEventMillis(), nowMillis);
                targetLimits.recordResponse(engine.target.id(), run.grantedMillis());
                return;
            }
            case RunOutcome.LatePause late -> {
                engine.recordLatePause(nowMillis);
                return;
            }
            case RunOutcome.Declined declined -> orders.handleDeclinedRun(engine, run.request(), nowMillis);
            case RunOutcome.ConnectionFailed failed ->
                engine.recordFailure(run.request().node(), nowMillis);
            case RunOutcome.Abandoned abandoned -> {
                // Unrelated to the target's health.
            }
        }
        endRun(key, engine, run, nowMillis);
        placeQueuedSoon(nowMillis);
    }

    /** Ends the run of a granted request that has completed normally. */
    public void endRun(String key, long nowMillis) {
        EngineState engine = engineByKey.get(key);
        EngineState.Run run = engine == null ? null : engine.runs.get(key);
        if (run != null) {
            endRun(key, engine, run, nowMillis);
            placeQueuedSoon(nowMillis);
        }
    }

    /** Handles the result of an order. Ignores it if the target has restarted since. */
    public void handleOrderResult(EngineOrder order, OrderResult result, long nowMillis) {
        orders.recordStoreLoad(order, result, nowMillis);
        EngineState engine = engines.get(order.target().id());
        if (engine != null && order.target().isSameIncarnation(engine.target)) {
            orders.handleResult(engine, order, result, nowMillis);
            placeQueued(nowMillis);
        }
    }

    /** Handles a target's report, or an empty one if the target didn't respond. */
    public void handleReport(Target target, Optional<EngineReport> report, long nowMillis) {
        EngineState engine = engines.get(target.id());
        if (engine == null || !target.isSameIncarnation(engine.target)) {
            return;
        }
        boolean wasOccupied = engine.loads.isOccupiedByOtherOrder();
        engine.reportPending = false;
        if (report.isPresent()) {
            engine.unansweredReportCount = 0;
            engine.updateFromReport(report.get(), nowMillis);
            modelLoads.recordFreedTarget(wasOccupied && !engine.loads.isOccupiedByOtherOrder());
        } else {
            engine.unansweredReportCount++;
            engine.nextOrderMillis = nowMillis + WaitingPolicy.RETRY_AFTER_MILLIS;
        }
        placeQueued(nowMillis);
    }

    /** Sets whether orders may be sent, that is, whether this node holds the lease. */
    public void setOrdersAllowed(boolean allowed) {
        orders.setAllowed(allowed);
    }

    /** Places queued requests and advances loads; to be called periodically. */
    public void tick(long nowMillis) {
        placeQueued(nowMillis);
    }

    /** Returns whether requests are queued or loads are in progress, so that further ticks are needed. */
    public boolean hasPendingWork() {
        return !queued.isEmpty()
                || engines.values().stream()
                        .anyMatch(engine -> engine.loads.nextModel.isPresent()
                                || engine.loads.isLoadingFromStore()
                                || engine.loads.isOccupiedByOtherOrder());
    }

    /** Replaces the specification of the service's engines. */
    public void updateSpec(EngineSpec latest) {
        spec = latest;
        engines.values().forEach(engine -> engine.spec = latest);
    }

    private void endRun(String key, EngineState engine, EngineState.Run run, long nowMillis) {
        engine.endRun(key);
        engineByKey.remove(key);
        ModelInstance instance = run.request().model().map(engine.models::get).orElse(null);
        if (instance == null) {
            return;
        }
        instance.runCount = Math.max(0, instance.runCount - 1);
        instance.lastUsedMillis = nowMillis;
        run.request().traits().adapter().map(instance.adapters::get).ifPresent(adapter -> {
            adapter.runCount = Math.max(0, adapter.runCount - 1);
            adapter.lastUsedMillis = nowMillis;
        });
    }

    /** Places queued requests, unless that was done very recently; then the next tick does it. */
    private void placeQueuedSoon(long nowMillis) {
        if (!queued.isEmpty() && nowMillis - lastPlacementMillis >= MIN_PLACEMENT_INTERVAL_MILLIS) {
            placeQueued(nowMillis);
        }
    }

    private void placeQueued(long nowMillis) {
        lastPlacementMillis = nowMillis;
        unserved.clearWaiting();
        queuedByFullModel.clear();
        readyMillisByModel.clear();
        for (QueuedRequest queuedRequest : waitingPolicy.inOrder(queued.values(), nowMillis)) {
            place(queuedRequest, nowMillis);
        }
        modelLoads.reconcile(spec, engines.values(), queuedByFullModel, nowMillis);
    }

    private void place(QueuedRequest queuedRequest, long nowMillis) {
        DispatchRequest request = queuedRequest.request();
        Optional<String> model = request.model();
        if (model.isPresent() && !spec.models().containsKey(model.get())) {
            refuse(request, "no-such-model", 0);
            return;
        }
        if (engines.values().stream().noneMatch(engine -> request.accepts(engine.target))
                && request.continuation().isPresent()) {
            refuse(request, "no-target-of-version", WaitingPolicy.RETRY_AFTER_MILLIS);
            return;
        }
        Optional<EngineSelector.Selection> selection = selector.select(request, engines.values(), spec, nowMillis);
        if (selection.isPresent()) {
            assign(queuedRequest, selection.get(), nowMillis);
            return;
        }
        long adapterWaitMillis = selector.adapterWaitMillis(request, engines.values(), spec, nowMillis);
        if (nowMillis + adapterWaitMillis + MIN_SERVICE_MILLIS > request.deadlineMillis() && adapterWaitMillis > 0) {
            unserved.recordAdapterRefusal(model.orElseThrow(), nowMillis);
            modelLoads.logUnloadableAdapter(request, adapterWaitMillis, nowMillis);
            refuse(
                    request,
                    "adapter-not-loaded-in-time",
                    Math.max(WaitingPolicy.RETRY_AFTER_MILLIS, adapterWaitMillis));
            return;
        }
        refuseIfUnplaceable(queuedRequest, nowMillis);
        if (model.isEmpty() || !queued.containsKey(request.key())) {
            return;
        }
        if (hasUsableReplica(request, model.get(), nowMillis)) {
            queuedByFullModel.merge(model.get(), 1, Integer::sum);
        } else {
            unserved.recordWaiting(model.get(), nowMillis);
        }
    }

    /** Returns when the model can serve the request. Cached per model for requests that any target may run. */
    private long readyMillis(EngineModelSpec model, DispatchRequest request, long nowMillis) {
        if (request.excluded().isEmpty()
                && request.continuation().isEmpty()
                && engines.values().stream().allMatch(engine -> engine.isReachableFrom(request.node(), nowMillis))) {
            return readyMillisByModel.computeIfAbsent(
                    model.name(), name -> modelLoads.readyMillis(model, engines.values(), nowMillis));
        }
        List<EngineState> usable = engines.values().stream()
                .filter(engine -> engine.acceptsRequest(request, nowMillis))
                .toList();
        return modelLoads.readyMillis(model, usable, nowMillis);
    }

    /**
     * Returns the expected wait for a permit behind earlier and more urgent requests for the same model, or zero if a
     * target without a limit holds or loads the model.
     */
    private long permitWaitMillis(QueuedRequest queuedRequest, long nowMillis) {
        DispatchRequest request = queuedRequest.request();
        if (request.model().isEmpty()) {
            return 0;
        }
        double permitsPerSecond = 0;
        long nextPermitMillis = Long.MAX_VALUE;
        for (EngineState engine : engines.values()) {
            String targetId = engine.target.id();
            if (!engine.holdsOrLoadsNext(request.model().get()) || !engine.acceptsRequest(request, nowMillis)) {
                continue;
            }
            if (!targetLimits.isLimited(targetId)) {
                return 0;
            }
            permitsPerSecond += targetLimits.permitsPerSecond(targetId);
            nextPermitMillis = Math.min(nextPermitMillis, targetLimits.waitMillis(targetId, nowMillis));
        }
        if (nextPermitMillis == Long.MAX_VALUE) {
            return 0;
        }
        long aheadCount = queued.values().stream()
                .filter(other -> other.isAheadOf(queuedRequest))
                .count();
        return nextPermitMillis + Math.round(aheadCount * 1_000 / permitsPerSecond);
    }

    private boolean hasUsableReplica(DispatchRequest request, String model, long nowMillis) {
        for (EngineState engine : engines.values()) {
            if (engine.models.containsKey(model) && engine.acceptsRequest(request, nowMillis)) {
                return true;
            }
        }
        return false;
    }

    /** Refuses a request that can't be served by its deadline, or that has waited too long for a target. */
    private void refuseIfUnplaceable(QueuedRequest queuedRequest, long nowMillis) {
        DispatchRequest request = queuedRequest.request();
        Optional<EngineModelSpec> model = request.model().map(spec.models()::get);
        long readyMillis =
                model.map(known -> readyMillis(known, request, nowMillis)).orElse(nowMillis);
        if (readyMillis + MIN_SERVICE_MILLIS > request.deadlineMillis()) {
            model.ifPresent(known -> unserved.recordRefusal(known.name(), nowMillis));
            refuse(request, "not-loaded-in-time", Math.max(WaitingPolicy.RETRY_AFTER_MILLIS, readyMillis - nowMillis));
            return;
        }
        long allowedWaitMillis = WaitingPolicy.maxWaitMillis(queuedRequest);
        long permitWaitMillis = permitWaitMillis(queuedRequest, nowMillis);
        if (nowMillis + permitWaitMillis - queuedRequest.queuedAtMillis() > allowedWaitMillis && permitWaitMillis > 0) {
            refuse(request, "targets-limited", Math.max(WaitingPolicy.RETRY_AFTER_MILLIS, permitWaitMillis));
            return;
        }
        if (readyMillis <= nowMillis) {
            waitingPolicy
                    .refusalIfFull(queuedRequest, nowMillis)
                    .ifPresent(refusal -> refuse(request, refusal.reason(), refusal.retryAfterMillis()));
        } else if (nowMillis - queuedRequest.queuedAtMillis() > allowedWaitMillis
                && model.isPresent()
                && !ReplicaController.isHeldOrLoading(model.get().name(), engines.values(), nowMillis)) {
            unserved.recordRefusal(model.get().name(), nowMillis);
            refuse(request, "no-room-to-load", WaitingPolicy.RETRY_AFTER_MILLIS);
        }
    }

    private void assign(QueuedRequest queuedRequest, EngineSelector.Selection selection, long nowMillis) {
        DispatchRequest request = queuedRequest.request();
        EngineState engine = selection.engine();
        if (!selection.adapterReady()) {
            adapterLoader.loadAdapter(engine, queuedRequest, nowMillis);
            return;
        }
        targetLimits.tryAcquire(engine.target.id(), nowMillis);
        queued.remove(request.key());
        waitingPolicy.recordGrant(queuedRequest, nowMillis);
        engine.startRun(new EngineState.Run(request, nowMillis, selection.estimateMillis(), selection.tokens()));
        engineByKey.put(request.key(), engine);
        engine.recordPrefill(selection.prefillMillis(), nowMillis);
        request.model().ifPresent(model -> {
            unserved.recordServed(model);
            engine.promptCache.add(
                    request.traits().weightsName(), request.traits().promptParts());
            ModelInstance instance = engine.models.get(model);
            instance.runCount++;
            instance.lastUsedMillis = nowMillis;
            request.traits().adapter().map(instance.adapters::get).ifPresent(adapter -> {
                adapter.runCount++;
                adapter.lastUsedMillis = nowMillis;
            });
        });
        Optional<Target> backup = request.wantsBackup() && spec.supportsBackups()
                ? selector.selectBackup(request, engine, engines.values(), nowMillis)
                : Optional.empty();
        actions.grant(request, engine.target, backup);
    }

    private void refuse(DispatchRequest request, String reason, long retryAfterMillis) {
        queued.remove(request.key());
        actions.refuse(request, reason, retryAfterMillis);
    }
}
