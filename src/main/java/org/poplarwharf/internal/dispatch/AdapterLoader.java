package org.poplarwharf.internal.dispatch;

import java.util.Comparator;
import java.util.Optional;
import org.poplarwharf.internal.fleet.EngineModelSpec;

/**
 * Loads adapters at the targets that requests are placed at, and unloads idle adapters to free slots and memory.
 *
 * <p>Invariant: the orders to a target never exceed its adapter slots or its memory. Confined to one thread.
 */
final class AdapterLoader {
    /** Adapters used more recently than this are not unloaded. */
    private static final long MIN_ADAPTER_IDLE_MILLIS = 150;

    private final EngineOrderController orders;

    AdapterLoader(EngineOrderController orders) {
        this.orders = orders;
    }

    /**
     * Orders the load of the request's adapter at a target that holds its model, or the unload of an idle adapter if
     * no slot or memory is free. Does nothing while no order can be sent; the caller tries again.
     */
    void loadAdapter(EngineState engine, DispatchRequest request, long nowMillis) {
        String model = request.model().orElseThrow();
        String adapter = request.traits().adapter().orElseThrow();
        ModelInstance instance = engine.models.get(model);
        if (instance == null
                || instance.adapters.containsKey(adapter)
                || engine.loads.isLoading(nowMillis)
                || !orders.canOrder(engine, nowMillis)) {
            return;
        }
        EngineModelSpec spec = engine.spec.models().get(model);
        if (engine.adapterCount() >= engine.spec.adapterSlots() || engine.freeMemoryMb() < spec.adapterSizeMb()) {
            unloadIdleAdapter(engine, nowMillis);
            return;
        }
        ModelInstance.AdapterInstance adapterInstance = new ModelInstance.AdapterInstance();
        adapterInstance.readyAtMillis = ModelInstance.UNKNOWN_MILLIS;
        adapterInstance.lastUsedMillis = nowMillis;
        instance.adapters.put(adapter, adapterInstance);
        orders.sendOrder(engine, EngineOrder.Kind.LOAD, model, Optional.of(adapter), nowMillis);
    }

    /** Orders the unload of the least recently used idle adapter, if there is one. */
    private void unloadIdleAdapter(EngineState engine, long nowMillis) {
        /** An adapter at the target that no running request uses. */
        record Idle(String model, String adapter, ModelInstance.AdapterInstance instance) {}

        Optional<Idle> leastRecentlyUsed = engine.models.entrySet().stream()
                .flatMap(model -> model.getValue().adapters.entrySet().stream()
                        .map(entry -> new Idle(model.getKey(), entry.getKey(), entry.getValue())))
                .filter(idle -> idle.instance().runCount == 0
                        && idle.instance().readyAtMillis <= nowMillis
                        && (idle.instance().lastUsedMillis == 0
                                || nowMillis - idle.instance().lastUsedMillis > MIN_ADAPTER_IDLE_MILLIS))
                .min(Comparator.comparingLong(idle -> idle.instance().lastUsedMillis));
        if (leastRecentlyUsed.isEmpty()) {
            return;
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
    }
}
