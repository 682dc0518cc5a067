package org.poplarwharf.internal.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.poplarwharf.internal.fleet.EngineModelSpec;
import org.poplarwharf.internal.fleet.EngineSpec;
import org.poplarwharf.internal.fleet.LoadedModel;
import org.poplarwharf.internal.fleet.Target;

/**
 * The dispatcher's view of one incarnation of a target, from its heartbeats, its reports and the results of orders.
 * Confined to one thread.
 */
final class EngineState {
    /** A heartbeat that arrives within this time of the last order may not show the order's effect yet. */
    private static final long MAX_CHECK_IN_LAG_MILLIS = 3_500;

    /** The delay before the next order to a target that reports another lease holder's order in progress. */
    private static final long BUSY_RETRY_MILLIS = 250;

    /** A report requested within this time of an order may not show its effect yet; several times the age of reports. */
    private static final long MAX_REPORT_LAG_MILLIS = 1_200;

    /** A target that misses this many reports in a row is believed to have crashed. */
    private static final int MAX_UNANSWERED_REPORT_COUNT = 2;

    /** The weight of a new observation in the moving average of a target's slowness. */
    private static final double SLOWNESS_SMOOTHING_RATIO = 0.3;

    private static final double MIN_SLOWNESS_RATIO = 0.5;
    private static final double MAX_SLOWNESS_RATIO = 30;

    /**
     * Time constant with which a passing slowness decays to the lasting one while a target sends no response, so that it
     * gets requests again.
     */
    private static final double SLOWNESS_DECAY_MILLIS = 4_000;

    /**
     * A lastingly slow target that got no request for this long is tried with one that has time to spare; several trials
     * show within seconds that it has recovered.
     */
    private static final long TRIAL_INTERVAL_MILLIS = 500;

    /**
     * Time constant of the prefill share. Streams last about two seconds, so earlier prefills don't affect new ones.
     */
    private static final double PREFILL_SHARE_DECAY_MILLIS = 4_000;

    Target target;
    EngineSpec spec;
    final Map<String, ModelInstance> models = new HashMap<>();
    final Set<String> inMemory = new HashSet<>();
    final Set<String> onDisk = new HashSet<>();
    final Map<String, Run> runs = new HashMap<>();
    final PromptCacheEstimate promptCache;
    final EngineLoads loads = new EngineLoads(this);
    Optional<EngineOrder> orderInFlight = Optional.empty();
    OptionalLong ordersAccepted = OptionalLong.empty();
    boolean reportPending;

    /** The adapter, as model/adapter, that gets the next free slot until the reservation ends. */
    Optional<String> reservedAdapter = Optional.empty();

    long reservationEndMillis;
    int consecutiveConflicts;

    /** The model whose unload order is in flight; restored if the order has no effect. */
    Optional<ModelInstance> unloadInFlight = Optional.empty();

    /** The reports in a row that the target didn't send. */
    int unansweredReportCount;

    long nextOrderMillis;
    long lastOrderMillis = Long.MIN_VALUE / 2;
    long reportRequestedMillis;
    long prefillDoneMillis;
    private final TargetSpeeds speeds;
    private final PathFailures paths;
    private long lastGrantMillis;
    private long committedTokens;
    private final LatePauses latePauses = new LatePauses();
    private double prefillShare;
    private long prefillShareUpdatedMillis;
    private double slowness = 1;
    private long slownessUpdatedMillis;

    /** A granted request that hasn't ended. */
    record Run(DispatchRequest request, long grantedMillis, long estimateMillis, long tokens) {}

    EngineState(Target target, EngineSpec spec, TargetSpeeds speeds, RequestNodes nodes, long nowMillis) {
        this.paths = new PathFailures(nodes);
        this.target = target;
        this.spec = spec;
        this.speeds = speeds;
        this.promptCache = new PromptCacheEstimate(spec.cacheTokens());
        replaceModels(target.models(), nowMillis);
        inMemory.addAll(target.inMemory());
        onDisk.addAll(target.onDisk());
    }

    /**
     * Applies a heartbeat of the same incarnation. Once the count of accepted orders is known, only reports update the
     * held models.
     */
    void updateFromHeartbeat(Target latest, long nowMillis) {
        target = latest;
        paths.removeExpired(nowMillis);
        if (ordersAccepted.isEmpty()) {
            replaceModels(latest.models(), nowMillis);
        }
        if (nowMillis - lastOrderMillis > MAX_CHECK_IN_LAG_MILLIS) {
            replaceCopies(latest.inMemory(), latest.onDisk());
        }
    }

    /**
     * Applies a report. Its models and its count of accepted orders are consistent: an order made for this state
     * carries that count, so it has no effect if the report was out of date.
     */
    void updateFromReport(EngineReport report, long nowMillis) {
        boolean restarted = report.startedAtMillis() != target.startedAtMillis()
                && report.startedAtMillis() != 0
                && target.startedAtMillis() != 0;
        boolean isCurrent = reportRequestedMillis - lastOrderMillis > MAX_REPORT_LAG_MILLIS;
        long knownOrders = ordersAccepted.orElse(-1);
        if (report.orderInProgress()) {
            // The report lacks the model that is being loaded: an order based on it could exceed the target's memory.
            nextOrderMillis = nowMillis + BUSY_RETRY_MILLIS;
            recordOrderInProgress(nowMillis);
            return;
        }
        loads.recordNoOrder();
        if (report.ordersAccepted() > knownOrders
                || restarted
                || (report.ordersAccepted() < knownOrders && isCurrent)) {
            ordersAccepted = OptionalLong.of(report.ordersAccepted());
            consecutiveConflicts = 0;
            replaceModels(report.models(), nowMillis);
            replaceCopies(report.inMemory(), report.onDisk());
            return;
        }
        if (report.ordersAccepted() == knownOrders) {
            confirmLoads(report.models(), nowMillis);
        }
    }

    /** Takes an order in progress for an unknown one unless it can be one that was sent from here. */
    private void recordOrderInProgress(long nowMillis) {
        boolean isOwnOrder = ordersAccepted.isPresent()
                && (loads.isLoading(nowMillis) || reportRequestedMillis - lastOrderMillis <= MAX_REPORT_LAG_MILLIS);
        if (!isOwnOrder) {
            loads.recordOtherOrder(nowMillis);
        }
    }

    /** Applies a report with no new orders: loads that it lists are done; overdue loads that it lacks have failed. */
    private void confirmLoads(List<LoadedModel> heldModels, long nowMillis) {
        Set<String> names = new HashSet<>();
        heldModels.forEach(model -> names.add(model.name()));
        for (Map.Entry<String, ModelInstance> entry : models.entrySet()) {
            if (entry.getValue().unconfirmed && names.contains(entry.getKey())) {
                entry.getValue().unconfirmed = false;
                entry.getValue().readyAtMillis = nowMillis;
            }
        }
        models.entrySet()
                .removeIf(entry -> orderInFlight.isEmpty()
                        && !names.contains(entry.getKey())
                        && reportRequestedMillis - entry.getValue().readyAtMillis > MAX_REPORT_LAG_MILLIS
                        && reportRequestedMillis - lastOrderMillis > MAX_REPORT_LAG_MILLIS);
    }

    private void replaceCopies(Set<String> memory, Set<String> disk) {
        if (memory.isEmpty() && disk.isEmpty()) {
            return;
        }
        inMemory.clear();
        inMemory.addAll(memory);
        onDisk.clear();
        onDisk.addAll(disk);
    }

    private void replaceModels(List<LoadedModel> heldModels, long nowMillis) {
        Set<String> names = new HashSet<>();
        for (LoadedModel model : heldModels) {
            names.add(model.name());
            ModelInstance instance =
                    models.computeIfAbsent(model.name(), name -> new ModelInstance(nowMillis, Set.of()));
            instance.unconfirmed = false;
            instance.readyAtMillis = Math.min(instance.readyAtMillis, nowMillis);
            instance.adapters.keySet().retainAll(model.adapters());
            for (String name : model.adapters()) {
                ModelInstance.AdapterInstance adapter =
                        instance.adapters.computeIfAbsent(name, key -> new ModelInstance.AdapterInstance());
                // The response to the order that loaded it may come later, and is not applied then.
                adapter.readyAtMillis = Math.min(adapter.readyAtMillis, nowMillis);
            }
        }
        models.keySet().removeIf(name -> {
            boolean removed = !names.contains(name);
            if (removed) {
                promptCache.removeModel(name);
            }
            return removed;
        });
    }

    /** Returns the memory left for models and adapters; zero if a held model isn't specified. */
    double freeMemoryMb() {
        double usedMb = 0;
        for (Map.Entry<String, ModelInstance> entry : models.entrySet()) {
            EngineModelSpec model = spec.models().get(entry.getKey());
            if (model == null) {
                return 0;
            }
            usedMb += model.sizeMb() + entry.getValue().adapters.size() * model.adapterSizeMb();
        }
        return spec.memoryMb() - usedMb;
    }

    int adapterCount() {
        int count = 0;
        for (ModelInstance instance : models.values()) {
            count += instance.adapters.size();
        }
        return count;
    }

    /** Returns the time that a load of the model takes here from the fastest available copy. */
    long loadMillis(EngineModelSpec model) {
        if (inMemory.contains(model.name())) {
            return model.memoryLoadMillis();
        }
        return onDisk.contains(model.name()) ? model.diskLoadMillis() : model.storeLoadMillis();
    }

    /** Returns whether the model would be loaded from the weight store, as the target has no copy. */
    boolean loadsFromStore(EngineModelSpec model) {
        return loadMillis(model) >= model.storeLoadMillis();
    }

    /** Returns whether the target holds the model, is loading it, or is to load it next. */
    boolean holdsOrLoadsNext(String model) {
        return models.containsKey(model) || loads.loadsNext(model);
    }

    /** Returns whether the target holds the model or has a copy of its weights in main memory or on disk. */
    boolean hasCopy(String model) {
        return models.containsKey(model) || inMemory.contains(model) || onDisk.contains(model);
    }

    /** Returns whether orders to the target are believed to go on: it is not leaving and not believed to have crashed. */
    boolean isBelievedToCarryOutOrders(long nowMillis) {
        return acceptsRequests(nowMillis) && unansweredReportCount < MAX_UNANSWERED_REPORT_COUNT;
    }

    /** Returns whether the target holds the model and serves it. */
    boolean isReady(String model, long nowMillis) {
        ModelInstance instance = models.get(model);
        return instance != null && instance.isReady(nowMillis);
    }

    /** Returns whether the target gets new requests: it isn't leaving, and no failures keep it from all nodes. */
    boolean acceptsRequests(long nowMillis) {
        return !target.leaving() && !paths.keepFromAll(nowMillis);
    }

    /** Returns whether the target may get a request: its node reaches the target, which has not failed it. */
    boolean acceptsRequest(DispatchRequest request, long nowMillis) {
        return acceptsRequests(nowMillis) && request.accepts(target) && isReachableFrom(request.node(), nowMillis);
    }

    boolean isReachableFrom(String node, long nowMillis) {
        return paths.remainingMillis(node, nowMillis) == 0;
    }

    /** Returns whether the target can be told to load a model: it gets requests, and this node reaches it. */
    boolean acceptsLoads(long nowMillis) {
        return acceptsRequests(nowMillis)
                && isReachableFrom(RequestNodes.OWN, nowMillis)
                && nowMillis >= loads.plansPausedUntilMillis;
    }

    /** Adds a run and counts its tokens. */
    void startRun(Run run) {
        lastGrantMillis = run.grantedMillis();
        Run previous = runs.put(run.request().key(), run);
        committedTokens += run.tokens() - (previous == null ? 0 : previous.tokens());
        latePauses.addRun(run);
        latePauses.removeRun(previous);
    }

    /** Removes a run and its tokens. */
    void endRun(String key) {
        Run run = runs.remove(key);
        committedTokens -= run == null ? 0 : run.tokens();
        latePauses.removeRun(run);
    }

    long committedTokens() {
        return committedTokens;
    }

    /** Records a prompt whose prefill takes the target this long. */
    void recordPrefill(long prefillMillis, long nowMillis) {
        prefillDoneMillis = Math.max(nowMillis, prefillDoneMillis) + prefillMillis;
        prefillShare = prefillShare(nowMillis) + prefillMillis / PREFILL_SHARE_DECAY_MILLIS;
        prefillShareUpdatedMillis = nowMillis;
    }

    /** Returns the share of its recent time that the target has spent on prefilling prompts. */
    double prefillShare(long nowMillis) {
        return prefillShare * Math.exp(-(nowMillis - prefillShareUpdatedMillis) / PREFILL_SHARE_DECAY_MILLIS);
    }

    /** Returns the ratio of observed to expected time to the first event; 1 for a target of normal speed. */
    double slowness(long nowMillis) {
        double decay = Math.exp(-(nowMillis - slownessUpdatedMillis) / SLOWNESS_DECAY_MILLIS);
        double lastingSlowness = speeds.slowness(target, nowMillis);
        return lastingSlowness + (slowness - lastingSlowness) * decay;
    }

    /** Returns whether a lastingly slow target is to be tried again. */
    boolean isTrialDue(long nowMillis) {
        return nowMillis - lastGrantMillis >= TRIAL_INTERVAL_MILLIS && speeds.slowness(target, nowMillis) > 1;
    }

    /** Updates the slowness from the time to a run's first event, and records that the target responds. */
    void recordFirstEvent(Run run, long firstEventMillis, long nowMillis) {
        paths.recordSuccess(run.request().node());
        latePauses.recordFirstEvent(run, nowMillis);
        long estimateMillis = run.estimateMillis();
        speeds.recordFirstEvent(target, run.request().model().orElse(""), estimateMillis, firstEventMillis, nowMillis);
        double observedRatio = Math.clamp(
                firstEventMillis / (double) Math.max(1, estimateMillis), MIN_SLOWNESS_RATIO, MAX_SLOWNESS_RATIO);
        slowness = slowness(nowMillis) * (1 - SLOWNESS_SMOOTHING_RATIO) + observedRatio * SLOWNESS_SMOOTHING_RATIO;
        slownessUpdatedMillis = nowMillis;
    }

    /** Records the first late pause of a stream. */
    void recordLatePause(long nowMillis) {
        latePauses.recordLate(nowMillis);
    }

    /** Returns the expected harm of late pauses if a request is placed here; zero unless targets are known to differ. */
    double pauseHarmMillis(DispatchRequest request, double addedPrefillMillis, long nowMillis) {
        double recentPrefillMillis = prefillShare(nowMillis) * PREFILL_SHARE_DECAY_MILLIS;
        return speeds.isUneven(target)
                ? latePauses.harmMillis(request, addedPrefillMillis, recentPrefillMillis, nowMillis)
                : 0;
    }

    /** Records a failed connection of a node, which gets no new grants here for some time. */
    void recordFailure(String node, long nowMillis) {
        paths.recordFailure(node, nowMillis);
    }
}
