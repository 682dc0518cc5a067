package org.poplarwharf.internal.dispatch;

import java.util.Optional;
import java.util.OptionalLong;
import org.poplarwharf.internal.fleet.EngineModelSpec;

/**
 * The orders to targets: when one may be given, and what its answer means.
 *
 * <p>Invariants: one order at a time to a target; each names the orders that the target must have accepted before, so
 * that of two orders made for the same state at most one is carried out, however late. What an order was to change is
 * believed only once it is accepted. Confined to one thread.
 */
final class Orders {
    /** After an answer that doesn't settle an order, the next one waits until the target has taken notice. */
    private static final long RETRY_ORDER_MILLIS = 30;

    /** An idle model is gone within this; until then a target takes no other order. */
    private static final long UNLOAD_MILLIS = 40;

    /** An adapter is loaded in less than this, over all but the busiest moments. */
    private static final long ADAPTER_READY_MILLIS = 8;

    /** A model that the target declined is tried again after this. */
    private static final long DECLINED_MILLIS = 120;

    /** A target that is busy with the order before is done by then; after that its count of orders must differ. */
    private static final int CONFLICTS_UNTIL_REPORT = 6;

    /** Between two reports of one target while a load is awaited. */
    static final long REPORT_GAP_MILLIS = 250;

    private final LoadBudget budget;
    private final DispatchActions actions;
    private boolean allowed;

    Orders(LoadBudget budget, DispatchActions actions) {
        this.budget = budget;
        this.actions = actions;
    }

    /** Says whether orders may be given at all. */
    void allowed(boolean now) {
        allowed = now;
    }

    boolean allowed() {
        return allowed;
    }

    /** A target stated that it did not run a request: what it was believed to hold is doubted. */
    void declined(EngineState engine, Wish wish, long nowMillis) {
        Residency held = wish.model().map(engine.models::get).orElse(null);
        if (held == null) {
            return;
        }
        held.readyAtMillis = Math.max(held.readyAtMillis, nowMillis + DECLINED_MILLIS);
        wish.traits()
                .adapter()
                .map(held.adapters::get)
                .ifPresent(use -> use.readyAtMillis = nowMillis + DECLINED_MILLIS);
        askReport(engine, nowMillis);
    }

    void ordered(EngineState engine, EngineOrder order, OrderAnswer answer, long nowMillis) {
        engine.orderUnderWay = Optional.empty();
        if (engine.ordersAccepted.orElse(-1) != order.ordersAccepted()) {
            overtaken(engine, order, answer, nowMillis);
            return;
        }
        Residency held = engine.models.get(order.model());
        switch (answer) {
            case ACCEPTED, HOLDS -> {
                count(engine, order, nowMillis);
                engine.lastOrderMillis = nowMillis;
                engine.conflictsInRow = 0;
                engine.leaving = Optional.empty();
                engine.ordersAccepted = OptionalLong.of(order.ordersAccepted() + 1);
                settled(engine, order, held, nowMillis);
            }
            case CONFLICT -> {
                undo(engine, order, held);
                engine.conflictsInRow++;
                engine.nextOrderMillis = nowMillis + RETRY_ORDER_MILLIS;
                if (engine.conflictsInRow >= CONFLICTS_UNTIL_REPORT) {
                    askReport(engine, nowMillis);
                }
            }
            case REFUSED -> {
                undo(engine, order, held);
                engine.broke(nowMillis);
                engine.giveUpLoad();
            }
            case UNKNOWN -> {
                count(engine, order, nowMillis);
                undo(engine, order, held);
                engine.nextOrderMillis = nowMillis + RETRY_ORDER_MILLIS;
                askReport(engine, nowMillis);
            }
        }
    }

    /**
     * A report of a later state came before the answer. It shows the order's effect, or the order has none any more, since
     * it counted on a state that is over: what is believed stays as the report had it.
     */
    private void overtaken(EngineState engine, EngineOrder order, OrderAnswer answer, long nowMillis) {
        engine.leaving = Optional.empty();
        engine.giveUpLoad();
        switch (answer) {
            case ACCEPTED, HOLDS -> count(engine, order, nowMillis);
            case CONFLICT -> engine.nextOrderMillis = nowMillis + RETRY_ORDER_MILLIS;
            case REFUSED -> engine.broke(nowMillis);
            case UNKNOWN -> {
                count(engine, order, nowMillis);
                askReport(engine, nowMillis);
            }
        }
    }

    /** Counts a load that has begun, or may begin. */
    private void count(EngineState engine, EngineOrder order, long nowMillis) {
        boolean load = order.kind() == EngineOrder.Kind.LOAD && order.adapter().isEmpty();
        if (load && engine.loadsFromStore(engine.spec.models().get(order.model()))) {
            budget.begin(nowMillis);
        }
    }

    private void settled(EngineState engine, EngineOrder order, Residency held, long nowMillis) {
        if (order.adapter().isPresent()) {
            if (order.kind() == EngineOrder.Kind.LOAD && held != null) {
                Residency.AdapterUse use = held.adapters.get(order.adapter().get());
                if (use != null) {
                    use.readyAtMillis = nowMillis + ADAPTER_READY_MILLIS;
                }
            }
            return;
        }
        if (order.kind() == EngineOrder.Kind.UNLOAD) {
            engine.prompts.unloaded(order.model());
            engine.nextOrderMillis = nowMillis + UNLOAD_MILLIS;
            return;
        }
        engine.wantedModel = Optional.empty();
        if (held != null) {
            EngineModelSpec spec = engine.spec.models().get(order.model());
            held.readyAtMillis = nowMillis + engine.loadMillis(spec);
            held.unconfirmed = engine.loadsFromStore(spec);
            held.lastUsedMillis = nowMillis;
        }
        engine.inMemory.add(order.model());
        engine.onDisk.add(order.model());
    }

    /** What an order without effect had set out to change is as before, for as long as no order is accepted. */
    private static void undo(EngineState engine, EngineOrder order, Residency held) {
        if (order.kind() == EngineOrder.Kind.UNLOAD) {
            if (order.adapter().isPresent()) {
                if (held != null) {
                    held.adapters.put(order.adapter().get(), new Residency.AdapterUse());
                }
            } else {
                engine.leaving.ifPresent(before -> engine.models.put(order.model(), before));
                engine.leaving = Optional.empty();
            }
            return;
        }
        if (held != null) {
            if (order.adapter().isPresent()) {
                held.adapters.remove(order.adapter().get());
            } else {
                engine.models.remove(order.model());
            }
        }
    }

    /** Tells whether an order can be given now; asks for a report where the count of orders is not known. */
    boolean mayOrder(EngineState engine, long nowMillis) {
        if (!allowed || engine.orderUnderWay.isPresent() || engine.nextOrderMillis > nowMillis) {
            return false;
        }
        if (engine.ordersAccepted.isEmpty()) {
            if (nowMillis - engine.reportAskedMillis >= REPORT_GAP_MILLIS || engine.reportAskedMillis == 0) {
                askReport(engine, nowMillis);
            }
            return false;
        }
        return true;
    }

    void askReport(EngineState engine, long nowMillis) {
        if (engine.reportAsked) {
            return;
        }
        engine.reportAsked = true;
        engine.reportAskedMillis = nowMillis;
        actions.askReport(engine.target);
    }

    void order(EngineState engine, EngineOrder.Kind kind, String model, Optional<String> adapter, long nowMillis) {
        EngineOrder order = new EngineOrder(engine.target, kind, model, adapter, engine.ordersAccepted.orElseThrow());
        engine.orderUnderWay = Optional.of(order);
        engine.lastOrderMillis = nowMillis;
        actions.order(order);
    }
}
