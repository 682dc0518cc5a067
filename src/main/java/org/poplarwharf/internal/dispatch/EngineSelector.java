package org.poplarwharf.internal.dispatch;

import java.util.Collection;
import java.util.Optional;
import org.poplarwharf.internal.fleet.EngineSpec;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.limit.TargetLimits;

/**
 * Selects the target with the lowest cost for a request. The cost is the expected time to the first event, from the
 * prompt parts that are cached, the prompts to be prefilled first and the target's recent slowness, plus penalties for
 * slowing other streams, for crossing zones, for missing adapters and for a limit that the target has named.
 *
 * <p>Confined to the thread of the engine states that it reads.
 */
final class EngineSelector {
    /** Prompt tokens that an engine prefills per millisecond; the order of magnitude of current engines. */
    private static final double PREFILL_TOKENS_PER_MILLI = 38;

    /** The time from sending an empty prompt to an idle engine until its first event. */
    private static final double IDLE_FIRST_EVENT_MILLIS = 50;

    /** The delay that each running request adds to the first event of another. */
    private static final double DELAY_PER_RUN_MILLIS = 1.5;

    /** The penalty for a target in another zone; traffic between zones is billed. */
    private static final double CROSS_ZONE_COST_MILLIS = 40;

    /** The cost to each running stream of a target, per millisecond of prefill there. */
    private static final double PREFILL_INTERFERENCE_RATIO = 0.3;

    /**
     * The cost of a long response at a target that prefills all the time: about the sum of the late pauses between
     * events.
     */
    private static final double PREFILL_BUSY_COST_MILLIS = 400;

    private static final double LONG_RESPONSE_TOKENS = 200;

    /** A slow target is tried with requests that have this many times as long as they are expected to take there. */
    private static final double TRIAL_RESERVE_RATIO = 3;

    /** The penalty for a draining model, so that it gets requests only if no other target can take them. */
    private static final double DRAINING_COST_MILLIS = 5_000;

    /** The cost of loading a missing adapter into a free slot. */
    private static final long ADAPTER_LOAD_MILLIS = 20;

    /** The cost of loading a missing adapter after unloading another, if all slots are taken. */
    private static final long ADAPTER_SWAP_MILLIS = 45;

    /**
     * The penalty for a target that has named a limit a short time ago: leaves its permits to requests that no other
     * target can take without a load.
     */
    private static final double LIMITED_COST_MILLIS = 300;

    /** Requests wait once running requests fill this share of an engine's cache. */
    private static final double MAX_CACHE_FILL_RATIO = 0.9;

    /** Most responses end long before their limit, so a response counts with at most this many tokens. */
    private static final long MAX_COUNTED_OUTPUT_TOKENS = 400;

    private final TargetLimits limits;

    EngineSelector(TargetLimits limits) {
        this.limits = limits;
    }

    /**
     * A target for a request.
     *
     * @param adapterReady whether the target holds the request's adapter; if not, it must be loaded first
     * @param estimateMillis the expected time to the first event at a target of normal speed
     * @param tokens the cache tokens that the run is counted with
     */
    record Selection(
            EngineState engine,
            boolean adapterReady,
            long estimateMillis,
            long prefillMillis,
            long tokens,
            double costMillis) {}

    /** Returns the target with the lowest cost; empty if no target can run the request now. */
    Optional<Selection> select(
            DispatchRequest request, Collection<EngineState> engines, EngineSpec spec, long nowMillis) {
        Selection best = null;
        for (EngineState engine : engines) {
            if (!engine.acceptsRequest(request, nowMillis) || limits.waitMillis(engine.target.id(), nowMillis) > 0) {
                continue;
            }
            Optional<Selection> candidate = evaluate(request, engine, spec, nowMillis)
                    .filter(found -> found.adapterReady() || engine.isReachableFrom(RequestNodes.OWN, nowMillis));
            if (candidate.isPresent() && (best == null || candidate.get().costMillis() < best.costMillis())) {
                best = candidate.get();
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns the least loaded other target of the same software that holds the same weights and so could continue the run. */
    Optional<Target> selectBackup(
            DispatchRequest request, EngineState selected, Collection<EngineState> engines, long nowMillis) {
        EngineState best = null;
        for (EngineState engine : engines) {
            ModelInstance instance = request.model().map(engine.models::get).orElse(null);
            boolean usable = engine != selected
                    && engine.target.softwareVersion().equals(selected.target.softwareVersion())
                    && !limits.isLimited(engine.target.id())
                    && engine.acceptsRequests(nowMillis)
                    && engine.isReachableFrom(request.node(), nowMillis)
                    && instance != null
                    && instance.isReady(nowMillis);
            if (!usable || instance.draining || !holdsAdapter(request, instance, nowMillis)) {
                continue;
            }
            if (best == null || engine.runs.size() < best.runs.size()) {
                best = engine;
            }
        }
        return Optional.ofNullable(best).map(engine -> engine.target);
    }

    private static boolean holdsAdapter(DispatchRequest request, ModelInstance instance, long nowMillis) {
        Optional<String> adapter = request.traits().adapter();
        if (adapter.isEmpty()) {
            return true;
        }
        ModelInstance.AdapterInstance adapterInstance = instance.adapters.get(adapter.get());
        return adapterInstance != null && !adapterInstance.draining && adapterInstance.readyAtMillis <= nowMillis;
    }

    /**
     * Returns the time until a target that serves the request's model can serve its adapter too; zero if there is no such
     * target, or if the request names no adapter.
     */
    long adapterWaitMillis(DispatchRequest request, Collection<EngineState> engines, EngineSpec spec, long nowMillis) {
        if (request.traits().adapter().isEmpty()) {
            return 0;
        }
        long shortestMillis = Long.MAX_VALUE;
        for (EngineState engine : engines) {
            ModelInstance instance = engine.models.get(request.model().orElseThrow());
            if (instance == null || !instance.isReady(nowMillis) || !engine.acceptsRequest(request, nowMillis)) {
                continue;
            }
            shortestMillis = Math.min(shortestMillis, adapterWaitMillis(request, instance, engine, spec, nowMillis));
        }
        return shortestMillis == Long.MAX_VALUE ? 0 : shortestMillis;
    }

    /** Returns the cost of running the request at the engine; empty if the engine can't run it now. */
    private Optional<Selection> evaluate(DispatchRequest request, EngineState engine, EngineSpec spec, long nowMillis) {
        Optional<ModelInstance> instance = request.model().map(engine.models::get);
        if (request.model().isPresent()
                && (instance.isEmpty() || !instance.get().isReady(nowMillis))) {
            return Optional.empty();
        }
        long prefillTokens = engine.promptCache.uncachedTokens(
                request.traits().weightsName(),
                request.traits().promptParts(),
                request.traits().promptTokens());
        long tokens = prefillTokens + Math.min(request.traits().maxOutputTokens(), MAX_COUNTED_OUTPUT_TOKENS);
        boolean idle = engine.runs.isEmpty();
        boolean hasRoom = engine.runs.size() < spec.batchSlots()
                && engine.committedTokens() + tokens <= spec.cacheTokens() * MAX_CACHE_FILL_RATIO;
        if (!idle && !hasRoom) {
            return Optional.empty();
        }
        double slowness = engine.slowness(nowMillis);
        double prefillMillis = prefillTokens / PREFILL_TOKENS_PER_MILLI * slowness;
        double estimateMillis = Math.max(0, engine.prefillDoneMillis - nowMillis)
                + prefillMillis
                + (IDLE_FIRST_EVENT_MILLIS + engine.runs.size() * DELAY_PER_RUN_MILLIS) * slowness;
        double costMillis = ownDelayMillis(request, engine, estimateMillis, nowMillis)
                + interferenceMillis(request, engine, prefillMillis, nowMillis)
                + (engine.target.zone().equals(request.zone()) ? 0 : CROSS_ZONE_COST_MILLIS)
                + (limits.prefersOthers(engine.target.id(), nowMillis) ? LIMITED_COST_MILLIS : 0);
        boolean adapterReady = true;
        if (instance.isPresent()) {
            long adapterMillis = adapterWaitMillis(request, instance.get(), engine, spec, nowMillis);
            if (adapterMillis > 0
                    && nowMillis + adapterMillis + Dispatcher.MIN_SERVICE_MILLIS > request.deadlineMillis()) {
                return Optional.empty();
            }
            adapterReady = holdsAdapter(request, instance.get(), nowMillis);
            costMillis += adapterMillis + (instance.get().draining ? DRAINING_COST_MILLIS : 0);
        }
        return Optional.of(new Selection(
                engine,
                adapterReady,
                Math.round(estimateMillis / slowness),
                Math.round(prefillMillis),
                tokens,
                costMillis));
    }

    /** Returns the delay of the first event; counted as at a target of normal speed if a slow one is to be tried again. */
    private static double ownDelayMillis(
            DispatchRequest request, EngineState engine, double estimateMillis, long nowMillis) {
        boolean hasTimeToSpare = nowMillis + estimateMillis * TRIAL_RESERVE_RATIO < request.objectiveMillis();
        return hasTimeToSpare && engine.isTrialDue(nowMillis)
                ? estimateMillis / engine.slowness(nowMillis)
                : estimateMillis;
    }

    /**
     * Returns the cost of a placement beyond the delay of its own first event. While a target prefills a prompt, the
     * pauses between the events of its streams grow. This cost concentrates long prompts at some targets and long
     * responses at the others.
     */
    private static double interferenceMillis(
            DispatchRequest request, EngineState engine, double prefillMillis, long nowMillis) {
        double othersMillis = prefillMillis * PREFILL_INTERFERENCE_RATIO * engine.runs.size();
        double longResponseRatio = Math.min(1, request.traits().maxOutputTokens() / LONG_RESPONSE_TOKENS);
        return othersMillis
                + engine.pauseHarmMillis(request, prefillMillis, nowMillis)
                + longResponseRatio * engine.prefillShare(nowMillis) * PREFILL_BUSY_COST_MILLIS;
    }

    /**
     * Returns the time until the adapter of a request is loaded; zero if it is held or being loaded, or if there is none. A
     * target takes no order while it loads a model.
     */
    private static long adapterWaitMillis(
            DispatchRequest request, ModelInstance instance, EngineState engine, EngineSpec spec, long nowMillis) {
        Optional<String> adapter = request.traits().adapter();
        if (adapter.isEmpty() || instance.adapters.containsKey(adapter.get())) {
            return 0;
        }
        boolean hasFreeSlot = engine.adapterCount() < spec.adapterSlots();
        long busyMillis = engine.loads.loadsDoneMillis(nowMillis) - nowMillis;
        return busyMillis + (hasFreeSlot ? ADAPTER_LOAD_MILLIS : ADAPTER_SWAP_MILLIS);
    }
}
