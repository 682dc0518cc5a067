package org.poplarwharf.internal.dispatch;

import java.util.Optional;
import java.util.OptionalLong;
import org.poplarwharf.internal.fleet.EngineModelSpec;

/**
 * Sends orders to targets, decides when one may be sent, and applies its result to the engine state.
 *
 * <p>Invariants: a target has at most one order in flight. Each order carries the number of orders that the target must
 * have accepted before, so of two orders made for the same state at most one is carried out, however late they arrive.
 * An order's effect is assumed only once the target has accepted it. Confined to one thread.
 */
final class EngineOrderController {
    /** The delay before the next order after a conflict or a missing response. */
    private static final long RETRY_ORDER_MILLIS = 30;

    /** The time in which a target unloads an idle model; until then it takes no other order. */
    private static final long UNLOAD_DURATION_MILLIS = 40;

    /** An adapter is loaded in less than this, except under peak load. */
    private static final long ADAPTER_LOAD_MILLIS = 8;

    /** The delay before requests are sent again to a model that the target declined. */
    private static final long DECLINED_RETRY_MILLIS = 120;

    /**
     * The number of consecutive conflicts after which a report is requested. A target that was busy with the previous
     * order is done by then, so its count of accepted orders must differ.
     */
    private static final int MAX_CONFLICT_COUNT = 6;

    /**
     * The minimum interval between report requests to one target while a load or the order count is to be confirmed.
     */
    static final long REPORT_INTERVAL_MILLIS = 250;

    private final LoadRateLimiter loadRate;
    private final DispatchActions actions;
    private boolean allowed;

    EngineOrderController(LoadRateLimiter loadRate, DispatchActions actions) {
        this.loadRate = loadRate;
        this.actions = actions;
    }

    /** Sets whether orders may be sent at all. */
    void setAllowed(boolean allowed) {
        this.allowed = allowed;
    }

    boolean isAllowed() {
        return allowed;
    }

    /**
     * Handles a target's statement that it didn't run a request. The model and the adapter may not be loaded there:
     * they get no requests for a short time, and a report is requested.
     */
    void handleDeclinedRun(EngineState engine, DispatchRequest request, long nowMillis) {
        ModelInstance instance = request.model().map(engine.models::get).orElse(null);
        if (instance == null) {
            return;
        }
        instance.readyAtMillis = Math.max(instance.readyAtMillis, nowMillis + DECLINED_RETRY_MILLIS);
        request.traits()
                .adapter()
                .map(instance.adapters::get)
                .ifPresent(adapter -> adapter.readyAtMillis = nowMillis + DECLINED_RETRY_MILLIS);
        requestReport(engine, nowMillis);
    }

    /** Applies the result of an order. */
    void handleResult(EngineState engine, EngineOrder order, OrderResult result, long nowMillis) {
        engine.orderInFlight = Optional.empty();
        if (engine.ordersAccepted.orElse(-1) != order.expectedOrdersAccepted()) {
            handleSupersededResult(engine, order, result, nowMillis);
            return;
        }
        ModelInstance instance = engine.models.get(order.model());
        switch (result) {
            case ACCEPTED, HOLDS -> {
                engine.lastOrderMillis = nowMillis;
                engine.consecutiveConflicts = 0;
                engine.unloadInFlight = Optional.empty();
                engine.ordersAccepted = OptionalLong.of(order.expectedOrdersAccepted() + 1);
                applyAccepted(engine, order, instance, nowMillis);
            }
            case CONFLICT -> {
                revert(engine, order, instance);
                engine.consecutiveConflicts++;
                engine.nextOrderMillis = nowMillis + RETRY_ORDER_MILLIS;
                if (engine.consecutiveConflicts >= MAX_CONFLICT_COUNT) {
                    requestReport(engine, nowMillis);
                }
            }
            case REFUSED -> {
                revert(engine, order, instance);
                recordRefused(engine, nowMillis);
                engine.loads.cancelNextLoad();
            }
            case UNKNOWN -> {
                revert(engine, order, instance);
                engine.nextOrderMillis = nowMillis + RETRY_ORDER_MILLIS;
                requestReport(engine, nowMillis);
            }
        }
    }

    private static void recordRefused(EngineState engine, long nowMillis) {
        engine.recordFailure(RequestNodes.OWN, nowMillis);
        engine.nextOrderMillis = nowMillis + RETRY_ORDER_MILLIS;
    }

    /**
     * Handles a result that arrives after a report of a later state. Either the report already shows the order's
     * effect, or the order can no longer have one, since its expected order count is outdated. The state stays as
     * reported.
     */
    private void handleSupersededResult(EngineState engine, EngineOrder order, OrderResult result, long nowMillis) {
        engine.unloadInFlight = Optional.empty();
        engine.loads.cancelNextLoad();
        switch (result) {
            case ACCEPTED, HOLDS -> {
                // The report showed the effect.
            }
            case CONFLICT -> engine.nextOrderMillis = nowMillis + RETRY_ORDER_MILLIS;
            case REFUSED -> recordRefused(engine, nowMillis);
            case UNKNOWN -> requestReport(engine, nowMillis);
        }
    }

    /** Counts a load from the weight store that has started, or may start later, against the rate limit. */
    void recordStoreLoad(EngineOrder order, OrderResult result, long nowMillis) {
        boolean mayHaveStarted = switch (result) {
            case ACCEPTED, HOLDS, UNKNOWN -> true;
            case CONFLICT, REFUSED -> false;
        };
        loadRate.recordResult(order, mayHaveStarted, nowMillis);
    }

    /** Updates the engine state with the effect of an accepted order. */
    private void applyAccepted(EngineState engine, EngineOrder order, ModelInstance instance, long nowMillis) {
        if (order.adapter().isPresent()) {
            if (order.kind() == EngineOrder.Kind.LOAD && instance != null) {
                ModelInstance.AdapterInstance adapter =
                        instance.adapters.get(order.adapter().get());
                if (adapter != null) {
                    adapter.readyAtMillis = nowMillis + ADAPTER_LOAD_MILLIS;
                }
            }
            return;
        }
        if (order.kind() == EngineOrder.Kind.UNLOAD) {
            engine.promptCache.removeModel(order.model());
            engine.nextOrderMillis = nowMillis + UNLOAD_DURATION_MILLIS;
            return;
        }
        engine.loads.nextModel = Optional.empty();
        if (instance != null) {
            EngineModelSpec spec = engine.spec.models().get(order.model());
            instance.readyAtMillis = nowMillis + engine.loadMillis(spec);
            instance.unconfirmed = engine.loadsFromStore(spec);
            instance.lastUsedMillis = nowMillis;
        }
        engine.inMemory.add(order.model());
        engine.onDisk.add(order.model());
    }

    /** Restores the state from before an order that had no effect so far. */
    private static void revert(EngineState engine, EngineOrder order, ModelInstance instance) {
        if (order.kind() == EngineOrder.Kind.UNLOAD) {
            if (order.adapter().isPresent()) {
                if (instance != null) {
                    instance.adapters.put(order.adapter().get(), new ModelInstance.AdapterInstance());
                }
            } else {
                engine.unloadInFlight.ifPresent(unloading -> engine.models.put(order.model(), unloading));
                engine.unloadInFlight = Optional.empty();
            }
            return;
        }
        if (instance != null) {
            if (order.adapter().isPresent()) {
                instance.adapters.remove(order.adapter().get());
            } else {
                engine.models.remove(order.model());
            }
        }
    }

    /** Returns whether an order can be sent now. Requests a report if the count of accepted orders isn't known. */
    boolean canOrder(EngineState engine, long nowMillis) {
        if (!allowed || engine.orderInFlight.isPresent() || engine.nextOrderMillis > nowMillis) {
            return false;
        }
        if (engine.ordersAccepted.isEmpty()) {
            if (nowMillis - engine.reportRequestedMillis >= REPORT_INTERVAL_MILLIS
                    || engine.reportRequestedMillis == 0) {
                requestReport(engine, nowMillis);
            }
            return false;
        }
        return true;
    }

    /** Requests a report from the target, unless one is already pending. */
    void requestReport(EngineState engine, long nowMillis) {
        if (engine.reportPending) {
            return;
        }
        engine.reportPending = true;
        engine.reportRequestedMillis = nowMillis;
        actions.requestReport(engine.target);
    }

    /** Sends an order that is valid only for the count of accepted orders known now. */
    void sendOrder(EngineState engine, EngineOrder.Kind kind, String model, Optional<String> adapter, long nowMillis) {
        EngineOrder order = new EngineOrder(engine.target, kind, model, adapter, engine.ordersAccepted.orElseThrow());
        engine.orderInFlight = Optional.of(order);
        engine.lastOrderMillis = nowMillis;
        boolean loadsModel = kind == EngineOrder.Kind.LOAD && adapter.isEmpty();
        if (loadsModel && engine.loadsFromStore(engine.spec.models().get(model))) {
            loadRate.recordOrder(order);
        }
        actions.sendOrder(order);
    }
}
