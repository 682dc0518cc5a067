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
import org.poplarwharf.internal.limit.TargetLimits;
import org.poplarwharf.internal.stream.StreamContinuation;

/** Simulates the targets and callers of a dispatcher under test, with a clock that the test advances. */
final class FakeFleet implements DispatchActions {
    static final String SERVICE = "lm";
    static final double MODEL_MB = 30;
    static final double TARGET_MB = 62;
    static final long STORE_LOAD_MILLIS = 6_000;
    static final long DISK_LOAD_MILLIS = 400;
    static final int SLOT_COUNT = 8;
    private static final long STEP_MILLIS = 20;

    final List<EngineOrder> orders = new ArrayList<>();
    final Map<String, String> granted = new LinkedHashMap<>();
    final Map<String, String> backups = new LinkedHashMap<>();
    final Map<String, String> refused = new LinkedHashMap<>();
    final Map<String, Long> retryAfterMillis = new LinkedHashMap<>();
    final List<String> reportsRequested = new ArrayList<>();
    final Map<String, Target> targets = new LinkedHashMap<>();
    final TargetLimits targetLimits = new TargetLimits(() -> true, (target, requestsPerSecond) -> {});
    final TargetSpeeds speeds = new TargetSpeeds((targetId, slow, estimate) -> {});
    final RequestNodes nodes = new RequestNodes();
    final Dispatcher dispatcher;
    private final EngineSpec spec;
    long nowMillis = 1_000_000;
    private final Map<String, Set<String>> modelsByTarget = new LinkedHashMap<>();
    private final Map<String, Long> ordersAcceptedByTarget = new LinkedHashMap<>();
    private final Map<String, Long> busyUntilMillis = new LinkedHashMap<>();
    final Map<String, String> softwareVersions = new LinkedHashMap<>();

    private final Map<String, Set<String>> adaptersByInstance = new LinkedHashMap<>();

    /** Targets that have crashed but are still listed. */
    final Set<String> silentTargets = new LinkedHashSet<>();

    /** The stream that the next requests continue. */
    Optional<StreamContinuation> continuation = Optional.empty();

    /** The node that sends the next requests. */
    String node = RequestNodes.OWN;

    /** The maximum time between events that the next requests state; zero for none. */
    long maxEventGapMillis;

    private int executedCount;
    private int requestCount;

    FakeFleet(String... models) {
        this(false, models);
    }

    FakeFleet(boolean ranksByCost, String... models) {
        Map<String, EngineModelSpec> specs = new LinkedHashMap<>();
        for (String model : models) {
            specs.put(
                    model,
                    new EngineModelSpec(
                            model, MODEL_MB, STORE_LOAD_MILLIS, DISK_LOAD_MILLIS, DISK_LOAD_MILLIS, 4, 0.1));
        }
        spec = new EngineSpec(SLOT_COUNT, 100_000, TARGET_MB, 2, 1.6, true, specs);
        dispatcher = new Dispatcher(
                spec, new Dispatcher.LoadLimits(5_000, 1.1), targetLimits, speeds, nodes, this, ranksByCost);
        dispatcher.setOrdersAllowed(true);
    }

    /** Updates the dispatcher's specification to one without the model. */
    void removeModel(String model) {
        Map<String, EngineModelSpec> remaining = new LinkedHashMap<>(spec.models());
        remaining.remove(model);
        dispatcher.updateSpec(new EngineSpec(
                spec.batchSlots(),
                spec.cacheTokens(),
                spec.memoryMb(),
                spec.adapterSlots(),
                spec.storeLoadsPerSecond(),
                spec.supportsBackups(),
                remaining));
    }

    /** Adds a target that holds the given models and has the given copies on disk. */
    void addTarget(String id, List<String> held, Set<String> onDisk) {
        addTarget(id, 1, heldModels(held.toArray(String[]::new)), onDisk);
    }

    List<LoadedModel> heldModels(String... names) {
        return Stream.of(names).map(name -> new LoadedModel(name, Set.of())).toList();
    }

    /** Sends one more heartbeat of the target, with no other change. */
    void sendNextHeartbeat(String id) {
        Target previous = targets.get(id);
        addTarget(id, previous.heartbeatCount() + 1, previous.models(), previous.onDisk());
        sendAllHeartbeats();
    }

    private void addTarget(String id, long heartbeatCount, List<LoadedModel> models, Set<String> onDisk) {
        targets.put(
                id,
                new Target(
                        id,
                        0,
                        heartbeatCount,
                        SERVICE,
                        new InetSocketAddress("127.0.0.1", 1),
                        "z1",
                        8,
                        false,
                        OptionalLong.empty(),
                        softwareVersions.getOrDefault(id, "v1"),
                        models,
                        Set.of(),
                        onDisk));
    }

    void sendAllHeartbeats() {
        dispatcher.updateTargets(targets.values(), nowMillis);
    }

    void advanceMillis(long millis) {
        nowMillis += millis;
        dispatcher.tick(nowMillis);
    }

    /** Submits a request for a model with the given time to its deadline, and returns its key. */
    String submit(String model, long remainingMillis) {
        return submit(model, Optional.empty(), remainingMillis);
    }

    /** Submits a request for an adapter of a model, and returns its key. */
    String submit(String model, Optional<String> adapter, long remainingMillis) {
        requestCount++;
        String key = "r" + requestCount;
        submit(key, model, adapter, remainingMillis);
        return key;
    }

    /** Submits a request of the highest priority, and returns its key. */
    String submitUrgent(String model, long remainingMillis) {
        requestCount++;
        String key = "r" + requestCount;
        submit(key, model, Optional.empty(), 0, remainingMillis);
        return key;
    }

    /** Submits a request under a key, again if that key has been submitted before. */
    void submit(String key, String model, Optional<String> adapter, long remainingMillis) {
        submit(key, model, adapter, 1, remainingMillis);
    }

    private void submit(String key, String model, Optional<String> adapter, int priority, long remainingMillis) {
        RequestTraits traits = new RequestTraits(
                key,
                OptionalLong.empty(),
                Optional.of(model),
                adapter,
                100,
                50,
                List.of(),
                OptionalLong.empty(),
                Optional.empty());
        dispatcher.submit(
                new DispatchRequest(
                        key,
                        "z1",
                        SERVICE,
                        traits,
                        priority,
                        nowMillis + remainingMillis,
                        nowMillis + 2_000,
                        true,
                        Set.of(),
                        continuation,
                        Optional.empty(),
                        maxEventGapMillis,
                        node),
                nowMillis);
    }

    /** Submits enough requests for a model that it counts as busy, and ends all of them. */
    void submitUntilBusy(String model, long remainingMillis) {
        for (int i = 0; i < 15; i++) {
            dispatcher.endRun(submit(model, remainingMillis), nowMillis);
        }
    }

    /** Sends the report of a target that is not busy. */
    void report(String id, long ordersAccepted, String... held) {
        report(id, ordersAccepted, false, held);
    }

    void report(String id, long ordersAccepted, boolean busy, String... held) {
        report(id, ordersAccepted, busy, heldModels(held));
    }

    /** Sends a report that lists models with their adapters. */
    void report(String id, long ordersAccepted, boolean busy, List<LoadedModel> held) {
        dispatcher.handleReport(
                targets.get(id),
                Optional.of(new EngineReport(0, ordersAccepted, busy, held, Set.of(), Set.of())),
                nowMillis);
    }

    /** Passes the result of the last order to the dispatcher. */
    void completeLastOrder(OrderResult result) {
        dispatcher.handleOrderResult(orders.get(orders.size() - 1), result, nowMillis);
    }

    /**
     * Advances the clock in steps. Targets send requested reports and accept orders immediately; loads take their usual
     * time.
     */
    void executeOrdersFor(long millis) {
        for (long endMillis = nowMillis + millis; nowMillis < endMillis; advanceMillis(STEP_MILLIS)) {
            List<String> reporting = List.copyOf(reportsRequested);
            reportsRequested.clear();
            reporting.forEach(this::respondToReportRequest);
            while (executedCount < orders.size()) {
                executeOrder(orders.get(executedCount++));
            }
        }
    }

    private void respondToReportRequest(String id) {
        if (silentTargets.contains(id)) {
            dispatcher.handleReport(targets.get(id), Optional.empty(), nowMillis);
            return;
        }
        report(id, ordersAcceptedByTarget.getOrDefault(id, 0L), isLoading(id), loadedModelsAt(id));
    }

    /** Lets a target carry out an order of an earlier lease holder until then. */
    void occupyUntilMillis(String id, long untilMillis) {
        ordersAcceptedByTarget.merge(id, 1L, Long::sum);
        busyUntilMillis.put(id, untilMillis);
    }

    private boolean isLoading(String id) {
        return busyUntilMillis.getOrDefault(id, 0L) > nowMillis;
    }

    private void executeOrder(EngineOrder order) {
        String id = order.target().id();
        if (silentTargets.contains(id)) {
            dispatcher.handleOrderResult(order, OrderResult.UNKNOWN, nowMillis);
            return;
        }
        boolean isValid =
                order.expectedOrdersAccepted() == ordersAcceptedByTarget.getOrDefault(id, 0L) && !isLoading(id);
        if (!isValid) {
            dispatcher.handleOrderResult(order, OrderResult.CONFLICT, nowMillis);
            return;
        }
        ordersAcceptedByTarget.merge(id, 1L, Long::sum);
        if (order.adapter().isPresent()) {
            executeAdapterOrder(id, order);
        } else {
            executeModelOrder(id, order);
        }
        dispatcher.handleOrderResult(order, OrderResult.ACCEPTED, nowMillis);
    }

    private void executeModelOrder(String id, EngineOrder order) {
        Set<String> models = new LinkedHashSet<>(List.of(modelsAt(id)));
        if (order.kind() == EngineOrder.Kind.UNLOAD) {
            models.remove(order.model());
            adaptersByInstance.remove(id + "/" + order.model());
        } else {
            models.add(order.model());
            boolean hasLocalCopy = targets.get(id).onDisk().contains(order.model());
            busyUntilMillis.put(id, nowMillis + (hasLocalCopy ? DISK_LOAD_MILLIS : STORE_LOAD_MILLIS));
        }
        modelsByTarget.put(id, models);
    }

    /** An adapter is loaded or unloaded at once, and the target isn't busy meanwhile. */
    private void executeAdapterOrder(String id, EngineOrder order) {
        Set<String> adapters =
                adaptersByInstance.computeIfAbsent(id + "/" + order.model(), key -> new LinkedHashSet<>());
        if (order.kind() == EngineOrder.Kind.LOAD) {
            adapters.add(order.adapter().orElseThrow());
        } else {
            adapters.remove(order.adapter().orElseThrow());
        }
    }

    private List<LoadedModel> loadedModelsAt(String id) {
        return Stream.of(modelsAt(id))
                .map(name -> new LoadedModel(name, adaptersByInstance.getOrDefault(id + "/" + name, Set.of())))
                .toList();
    }

    /** Returns the models that a target holds after the executed orders. */
    String[] modelsAt(String id) {
        return modelsByTarget
                .computeIfAbsent(id, unused -> {
                    Set<String> names = new LinkedHashSet<>();
                    targets.get(id).models().forEach(model -> names.add(model.name()));
                    return names;
                })
                .toArray(String[]::new);
    }

    EngineOrder lastOrder() {
        return orders.get(orders.size() - 1);
    }

    Collection<String> orderedModels(EngineOrder.Kind kind) {
        return orders.stream()
                .filter(order -> order.kind() == kind)
                .map(EngineOrder::model)
                .toList();
    }

    @Override
    public void grant(DispatchRequest request, Target target, Optional<Target> backup) {
        granted.put(request.key(), target.id());
        backup.ifPresent(other -> backups.put(request.key(), other.id()));
    }

    @Override
    public void refuse(DispatchRequest request, String reason, long retryMillis) {
        refused.put(request.key(), reason);
        retryAfterMillis.put(request.key(), retryMillis);
    }

    @Override
    public void sendOrder(EngineOrder order) {
        orders.add(order);
    }

    @Override
    public void logDecision(String event, Object... fields) {
        // The tests check actions, not log records.
    }

    @Override
    public void requestReport(Target target) {
        reportsRequested.add(target.id());
    }
}
