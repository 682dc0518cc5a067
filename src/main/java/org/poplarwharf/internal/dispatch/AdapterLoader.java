package org.poplarwharf.internal.dispatch;

import java.util.Comparator;
import java.util.Optional;
import org.poplarwharf.internal.fleet.EngineModelSpec;

/**
 * Loads adapters at the targets that requests are placed at, and unloads idle adapters to free slots and memory.
 *
 * <p>Invariants: the orders to a target never exceed its adapter slots or its memory; an adapter that waits for a slot
 * gets one once the running requests of another adapter have ended, however many requests come for adapters in slots.
 * Confined to one thread.
 */
final class AdapterLoader {
    /** Adapters used more recently than this are not unloaded. */
    private static final long MIN_ADAPTER_IDLE_MILLIS = 150;

    /** A request that has waited this long while no adapter was idle ends the use of one that is held. */
    private static final long MAX_SLOT_WAIT_MILLIS = 250;

    /** A slot is kept free for an adapter for this long, in which the running requests of another one end. */
    private static final long RESERVATION_MILLIS = 5_000;

    private final EngineOrderController orders;

    AdapterLoader(EngineOrderController orders) {
        this.orders = orders;
    }

    /**
     * Orders the load of the request's adapter at a target that holds its model, or the unload of an idle adapter if
     * no slot or memory is free. Does nothing while no order can be sent; the caller tries again.
     */
    void loadAdapter(EngineState engine, QueuedRequest queued, long nowMillis) {
        DispatchRequest request = queued.request();
        String model = request.model().orElseThrow();
        String adapter = request.traits().adapter().orElseThrow();
        ModelInstance instance = engine.models.get(model);
        endExpiredReservation(engine, nowMillis);
        String name = model + "/" + adapter;
        boolean isReservedForOther = engine.reservedAdapter
                .filter(reserved -> !reserved.equals(name))
                .isPresent();
        if (isReservedForOther
                || instance == null
                || instance.adapters.containsKey(adapter)
                || engine.loads.isLoading(nowMillis)
                || !orders.canOrder(engine, nowMillis)) {
            return;
        }
        EngineModelSpec spec = engine.spec.models().get(model);
        if (engine.adapterCount() >= engine.spec.adapterSlots() || engine.freeMemoryMb() < spec.adapterSizeMb()) {
            boolean isUnloading = unloadIdleAdapter(engine, nowMillis);
            if (!isUnloading && nowMillis - queued.queuedAtMillis() > MAX_SLOT_WAIT_MILLIS) {
                reserveSlot(engine, name, nowMillis);
            }
            return;
        }
        engine.reservedAdapter = Optional.empty();
        ModelInstance.AdapterInstance adapterInstance = new ModelInstance.AdapterInstance();
        adapterInstance.readyAtMillis = ModelInstance.UNKNOWN_MILLIS;
        adapterInstance.lastUsedMillis = nowMillis;
        instance.adapters.put(adapter, adapterInstance);
        orders.sendOrder(engine, EngineOrder.Kind.LOAD, model, Optional.of(adapter), nowMillis);
    }

    /** Keeps further requests from the adapter with the fewest running ones, so that its slot becomes free. */
    private static void reserveSlot(EngineState engine, String name, long nowMillis) {
        if (engine.reservedAdapter.isPresent()) {
            return;
        }
        engine.models.values().stream()
                .flatMap(instance -> instance.adapters.values().stream())
                .filter(adapter -> adapter.readyAtMillis <= nowMillis)
                .min(Comparator.comparingInt((ModelInstance.AdapterInstance adapter) -> adapter.runCount)
                        .thenComparingLong(adapter -> adapter.lastUsedMillis))
                .ifPresent(adapter -> {
                    adapter.draining = true;
                    engine.reservedAdapter = Optional.of(name);
                    engine.reservationEndMillis = nowMillis + RESERVATION_MILLIS;
                });
    }

    /** Ends a reservation whose request may have left. */
    private static void endExpiredReservation(EngineState engine, long nowMillis) {
        if (engine.reservedAdapter.isPresent() && nowMillis >= engine.reservationEndMillis) {
            engine.reservedAdapter = Optional.empty();
            engine.models
                    .values()
                    .forEach(instance -> instance.adapters.values().forEach(adapter -> adapter.draining = false));
        }
    }

    /** Orders the unload of an idle adapter, the least recently used one; returns whether there is one. */
    private boolean unloadIdleAdapter(EngineState engine, long nowMillis) {
        /** An adapter at the target that no running request uses. */
        record Idle(String model, String adapter, ModelInstance.AdapterInstance instance) {}

        Optional<Idle> leastRecentlyUsed = engine.models.entrySet().stream()
                .flatMap(model -> model.getValue().adapters.entrySet().stream()
                        .map(entry -> new Idle(model.getKey(), entry.getKey(), entry.getValue())))
                .filter(idle -> idle.instance().runCount == 0
                        && idle.instance().readyAtMillis <= nowMillis
                        && (idle.instance().draining
                                || idle.instance().lastUsedMillis == 0
                                || nowMillis - idle.instance().lastUsedMillis > MIN_ADAPTER_IDLE_MILLIS))
                .min(Comparator.comparingLong(idle -> idle.instance().lastUsedMillis));
        if (leastRecentlyUsed.isEmpty()) {
            return false;
        }
        engine.models
                .get(leastRecentlyUsed.get().model())
                .adapters
                .remove(leastRecentlyUsed.get().adapter());
        orders.sendOrder(
                engine,
                EngineOrder.Kind.UNLOAD,
                leastRecentlyUsed.get().model(),
                Optional.of(leastRecentlyUsed.get().adapter()),
                nowMillis);
        return true;
    }
}
