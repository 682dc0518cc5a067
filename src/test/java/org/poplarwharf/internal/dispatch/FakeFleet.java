package org.poplarwharf.internal.dispatch;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Stream;
import org.poplarwharf.internal.fleet.EngineModelSpec;
import org.poplarwharf.internal.fleet.EngineSpec;
import org.poplarwharf.internal.fleet.LoadedModel;
import org.poplarwharf.internal.fleet.RequestTraits;
import org.poplarwharf.internal.fleet.Target;

/** Targets and callers of a dispatcher under test, with a clock that the test moves. */
final class FakeFleet implements DispatchActions {
    static final String SERVICE = "lm";
    static final double MODEL_MB = 30;
    static final double TARGET_MB = 62;
    static final long STORE_MILLIS = 6_000;
    static final long DISK_MILLIS = 400;
    static final int SLOTS = 8;
    private static final long STEP_MILLIS = 20;

    final List<EngineOrder> orders = new ArrayList<>();
    final Map<String, String> granted = new LinkedHashMap<>();
    final Map<String, String> backups = new LinkedHashMap<>();
    final Map<String, String> refused = new LinkedHashMap<>();
    final Map<String, Long> retryAfterMillis = new LinkedHashMap<>();
    final List<String> reportsAsked = new ArrayList<>();
    final Map<String, Target> targets = new LinkedHashMap<>();
    final Dispatcher dispatcher;
    long nowMillis = 1_000_000;
    private final Map<String, Set<String>> holding = new LinkedHashMap<>();
    private final Map<String, Long> accepted = new LinkedHashMap<>();
    private final Map<String, Long> busyUntilMillis = new LinkedHashMap<>();
    private int answered;
    private int wishes;

    FakeFleet(String... models) {
        Map<String, EngineModelSpec> specs = new LinkedHashMap<>();
        for (String model : models) {
            specs.put(model, new EngineModelSpec(model, MODEL_MB, STORE_MILLIS, DISK_MILLIS, DISK_MILLIS, 4, 0.1));
        }
        EngineSpec spec = new EngineSpec(SLOTS, 100_000, TARGET_MB, 2, 1.6, true, specs);
        dispatcher = new Dispatcher(spec, new Dispatcher.LoadLimits(5_000, 1.1), this);
        dispatcher.ordersAllowed(true);
    }

    /** Adds a target that holds these models, and has these copies on disk. */
    void target(String id, List<String> held, Set<String> onDisk) {
        target(id, 1, held(held.toArray(String[]::new)), onDisk);
    }

    List<LoadedModel> held(String... names) {
        return Stream.of(names).map(name -> new LoadedModel(name, Set.of())).toList();
    }

    /** The target checks in once more; nothing else has changed. */
    void checkInAgain(String id) {
        Target before = targets.get(id);
        target(id, before.heartbeatCount() + 1, before.models(), before.onDisk());
        checkIn();
    }

    private void target(String id, long checkIns, List<LoadedModel> models, Set<String> onDisk) {
        targets.put(
                id,
                new Target(
                        id,
                        0,
                        checkIns,
                        SERVICE,
                        new InetSocketAddress("127.0.0.1", 1),
                        "z1",
                        8,
                        false,
                        OptionalLong.empty(),
                        models,
                        Set.of(),
                        onDisk));
    }

    void checkIn() {
        dispatcher.targets(targets.values(), nowMillis);
    }

    void pass(long millis) {
        nowMillis += millis;
        dispatcher.tick(nowMillis);
    }

    /** Asks for a model with this much time left; returns the key. */
    String ask(String model, long millisLeft) {
        return ask(model, Optional.empty(), millisLeft);
    }

    /** Asks for an adapter of a model. */
    String ask(String model, Optional<String> adapter, long millisLeft) {
        wishes++;
        String key = "r" + wishes;
        RequestTraits traits = new RequestTraits(
                key, OptionalLong.empty(), Optional.of(model), adapter, 100, 50, List.of(), OptionalLong.empty());
        dispatcher.wish(
                new Wish(key, "z1", SERVICE, traits, 1, nowMillis + millisLeft, nowMillis + 2_000, true, Set.of()),
                nowMillis);
        return key;
    }

    /** Asks for a model so often that it counts as busy, and ends all of these requests. */
    void askOften(String model, long millisLeft) {
        for (int i = 0; i < 15; i++) {
            dispatcher.ended(ask(model, millisLeft), nowMillis);
        }
    }

    /** Gives a report of a target that is not busy. */
    void report(String id, long ordersAccepted, String... held) {
        report(id, ordersAccepted, false, held);
    }

    void report(String id, long ordersAccepted, boolean busy, String... held) {
        report(id, ordersAccepted, busy, held(held));
    }

    /** Gives a report of models with their adapters. */
    void report(String id, long ordersAccepted, boolean busy, List<LoadedModel> held) {
        dispatcher.reported(
                targets.get(id),
                Optional.of(new EngineReport(0, ordersAccepted, busy, held, Set.of(), Set.of())),
                nowMillis);
    }

    /** Answers the latest order. */
    void answer(OrderAnswer answer) {
        dispatcher.ordered(orders.get(orders.size() - 1), answer, nowMillis);
    }

    /** Lets time pass while targets answer with reports and carry out orders at once, each load in its time. */
    void carryOutOrders(long millis) {
        for (long endMillis = nowMillis + millis; nowMillis < endMillis; pass(STEP_MILLIS)) {
            List<String> asked = List.copyOf(reportsAsked);
            reportsAsked.clear();
            asked.forEach(id -> report(id, accepted.getOrDefault(id, 0L), loading(id), holds(id)));
            while (answered < orders.size()) {
                carryOut(orders.get(answered++));
            }
        }
    }

    private boolean loading(String id) {
        return busyUntilMillis.getOrDefault(id, 0L) > nowMillis;
    }

    private void carryOut(EngineOrder order) {
        String id = order.target().id();
        boolean due = order.ordersAccepted() == accepted.getOrDefault(id, 0L) && !loading(id);
        if (!due) {
            dispatcher.ordered(order, OrderAnswer.CONFLICT, nowMillis);
            return;
        }
        accepted.merge(id, 1L, Long::sum);
        Set<String> models = new LinkedHashSet<>(List.of(holds(id)));
        if (order.kind() == EngineOrder.Kind.UNLOAD) {
            models.remove(order.model());
        } else {
            models.add(order.model());
            boolean copied = targets.get(id).onDisk().contains(order.model());
            busyUntilMillis.put(id, nowMillis + (copied ? DISK_MILLIS : STORE_MILLIS));
        }
        holding.put(id, models);
        dispatcher.ordered(order, OrderAnswer.ACCEPTED, nowMillis);
    }

    /** Returns the models that a target holds after the orders that it has carried out. */
    String[] holds(String id) {
        return holding.computeIfAbsent(id, unused -> {
                    Set<String> names = new LinkedHashSet<>();
                    targets.get(id).models().forEach(model -> names.add(model.name()));
                    return names;
                })
                .toArray(String[]::new);
    }

    EngineOrder lastOrder() {
        return orders.get(orders.size() - 1);
    }

    Collection<String> ordered(EngineOrder.Kind kind) {
        return orders.stream()
                .filter(order -> order.kind() == kind)
                .map(EngineOrder::model)
                .toList();
    }

    @Override
    public void grant(Wish wish, Target target, Optional<Target> backup) {
        granted.put(wish.key(), target.id());
        backup.ifPresent(other -> backups.put(wish.key(), other.id()));
    }

    @Override
    public void refuse(Wish wish, String reason, long retryMillis) {
        refused.put(wish.key(), reason);
        retryAfterMillis.put(wish.key(), retryMillis);
    }

    @Override
    public void order(EngineOrder order) {
        orders.add(order);
    }

    @Override
    public void decided(String event, Object... fields) {
        // The tests look at what is done, not at what is logged.
    }

    @Override
    public void askReport(Target target) {
        reportsAsked.add(target.id());
    }
}
