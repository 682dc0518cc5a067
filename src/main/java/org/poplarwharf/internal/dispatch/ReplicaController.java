package org.poplarwharf.internal.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.poplarwharf.internal.fleet.EngineModelSpec;
import org.poplarwharf.internal.fleet.EngineSpec;

/**
 * Adds replicas of models that are held already: a second one of busy models, and one more of models whose targets are
 * full. Also prefetches models that no target has a copy of.
 *
 * <p>Stateless; confined to the thread of the engine states that it changes.
 */
final class ReplicaController {
    private static final String REASON_NO_COPY = "no copy";
    private static final String REASON_BUSY = "busy";
    private static final String REASON_TARGETS_FULL = "targets full";

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

    private final DemandEstimator demand;
    private final LoadPlanner planner;
    private final LoadStarter starter;

    ReplicaController(DemandEstimator demand, LoadPlanner planner, LoadStarter starter) {
        this.demand = demand;
        this.planner = planner;
        this.starter = starter;
    }

    /** Adds a replica of models whose targets are all full, if that costs other requests less than the wait. */
    void addReplicasOfFullModels(
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

    /** Adds a replica of busy models that have only one. */
    void replicateBusyModels(EngineSpec spec, Collection<EngineState> engines, long nowMillis) {
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
        starter.startPlanned(model, plan, reason, nowMillis);
    }

    private double maxReplicaCostMillis(EngineModelSpec model, long nowMillis) {
        return BASE_REPLICA_COST_MILLIS
                + REPLICA_COST_PER_REQUEST_RATE_MILLIS * demand.requestsPerSecond(model.name(), nowMillis);
    }

    /** Loads the most requested model that no target has a copy of; later loads from its disk copy are fast. */
    void prefetch(EngineSpec spec, Collection<EngineState> engines, long nowMillis) {
        if (starter.isTurnOfLongestAsked()
                || !starter.storeAllowsLoad(engines, RESERVED_LOAD_COUNT, nowMillis)
                || engines.stream().anyMatch(engine -> engine.loads.nextLoadsFromStore())) {
            return;
        }
        Set<String> busyModels = busyModels(spec, nowMillis);
        spec.models().values().stream()
                .filter(model -> engines.stream()
                        .noneMatch(engine -> engine.acceptsRequests(nowMillis) && engine.hasCopy(model.name())))
                .filter(model -> !isHeldOrLoading(model.name(), engines, nowMillis))
                .max(Comparator.comparingDouble(model -> demand.requestsPerSecond(model.name(), nowMillis)))
                .ifPresent(model -> starter.startPlanned(
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

    /** Returns whether a target is loading the model or is to load it next. */
    static boolean isLoadingOrNext(String model, Collection<EngineState> engines, long nowMillis) {
        for (EngineState engine : engines) {
            ModelInstance instance = engine.models.get(model);
            boolean isLoading = instance != null && !instance.isReady(nowMillis);
            if (engine.acceptsRequests(nowMillis) && (isLoading || engine.loads.loadsNext(model))) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a target holds the model, is loading it, or is to load it next. */
    static boolean isHeldOrLoading(String model, Collection<EngineState> engines, long nowMillis) {
        for (EngineState engine : engines) {
            if (engine.holdsOrLoadsNext(model) && engine.acceptsRequests(nowMillis)) {
                return true;
            }
        }
        return false;
    }
}
