package org.poplarwharf.internal.dispatch;

import java.util.Comparator;
import java.util.Optional;
import org.poplarwharf.internal.fleet.EngineModelSpec;

/**
 * Loads adapters where requests need them, and makes room among those that are idle.
 *
 * <p>Invariant: no target is ordered to hold more adapters, or more memory, than it has places for. Confined to one
 * thread.
 */
final class AdapterKeeper {
    /** An adapter that was used this recently makes no way. */
    private static final long ADAPTER_RECENT_MILLIS = 150;

    private final Orders orders;

    AdapterKeeper(Orders orders) {
        this.orders = orders;
    }

    /** Loads the wish's adapter at a target that holds its model. */
    void wantAdapter(EngineState engine, Wish wish, long nowMillis) {
        String model = wish.model().orElseThrow();
        String adapter = wish.traits().adapter().orElseThrow();
        Residency held = engine.models.get(model);
        if (held == null
                || held.adapters.containsKey(adapter)
                || engine.loading(nowMillis)
                || !orders.mayOrder(engine, nowMillis)) {
            return;
        }
        EngineModelSpec spec = engine.spec.models().get(model);
        if (engine.adapterCount() >= engine.spec.adapterSlots() || engine.freeMb() < spec.adapterSizeMb()) {
            dropIdleAdapter(engine, nowMillis);
            return;
        }
        Residency.AdapterUse use = new Residency.AdapterUse();
        use.readyAtMillis = Residency.NOT_YET;
        use.lastUsedMillis = nowMillis;
        held.adapters.put(adapter, use);
        orders.order(engine, EngineOrder.Kind.LOAD, model, Optional.of(adapter), nowMillis);
    }

    private void dropIdleAdapter(EngineState engine, long nowMillis) {
        /** An adapter that no request uses. */
        record Idle(String model, String adapter, Residency.AdapterUse use) {}

        Optional<Idle> oldest = engine.models.entrySet().stream()
                .flatMap(held -> held.getValue().adapters.entrySet().stream()
                        .map(entry -> new Idle(held.getKey(), entry.getKey(), entry.getValue())))
                .filter(idle -> idle.use().running == 0
                        && idle.use().readyAtMillis <= nowMillis
                        && (idle.use().lastUsedMillis == 0
                                || nowMillis - idle.use().lastUsedMillis > ADAPTER_RECENT_MILLIS))
                .min(Comparator.comparingLong(idle -> idle.use().lastUsedMillis));
        if (oldest.isEmpty()) {
            return;
        }
        engine.models.get(oldest.get().model()).adapters.remove(oldest.get().adapter());
        orders.order(
                engine,
                EngineOrder.Kind.UNLOAD,
                oldest.get().model(),
                Optional.of(oldest.get().adapter()),
                nowMillis);
    }
}
