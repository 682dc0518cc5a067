package org.poplarwharf.internal.simulation;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.poplarwharf.internal.dispatch.EngineOrder;
import org.poplarwharf.internal.dispatch.EngineReport;
import org.poplarwharf.internal.dispatch.OrderResult;
import org.poplarwharf.internal.fleet.LoadedModel;
import org.poplarwharf.internal.fleet.Target;

/**
 * An engine that carries out one order at a time and keeps copies of the weights that it has loaded. An unload waits for
 * the runs of its model to end.
 *
 * <p>Invariant: of two orders with the same expected order count, at most one is accepted. Confined to one thread.
 */
final class SimulatedTarget {
    static final String SERVICE = "engines";
    private static final long UNLOAD_MILLIS = 40;

    final String id;
    private final int memoryCopies;
    private final int diskCopies;
    private final Set<String> models = new LinkedHashSet<>();
    private final Set<String> inMemory = new LinkedHashSet<>();
    private final Set<String> onDisk = new LinkedHashSet<>();
    private final Map<String, Integer> runCounts = new HashMap<>();
    private Optional<EngineOrder> current = Optional.empty();
    private long currentDoneMillis;
    private long ordersAccepted;
    private long heartbeatCount;
    private boolean alive = true;
    private long aliveChangedMillis;

    SimulatedTarget(String id, int memoryCopies, int diskCopies, long startedMillis) {
        this.id = id;
        this.memoryCopies = memoryCopies;
        this.diskCopies = diskCopies;
        this.aliveChangedMillis = startedMillis;
    }

    /** Loads a model and leaves copies of it, without any delay. */
    void hold(String model) {
        models.add(model);
        addCopies(model);
    }

    void addDiskCopy(String model) {
        addCopy(onDisk, model, diskCopies);
    }

    private void addCopies(String model) {
        addCopy(inMemory, model, memoryCopies);
        addCopy(onDisk, model, diskCopies);
    }

    private static void addCopy(Set<String> copies, String model, int maxCount) {
        copies.remove(model);
        copies.add(model);
        if (copies.size() > maxCount) {
            copies.remove(copies.iterator().next());
        }
    }

    /** Accepts an order if the target is not busy and the order was made for its present state. */
    OrderResult accept(EngineOrder order, long loadMillis, long nowMillis) {
        if (current.isPresent() || order.expectedOrdersAccepted() != ordersAccepted) {
            return OrderResult.CONFLICT;
        }
        ordersAccepted++;
        current = Optional.of(order);
        currentDoneMillis = nowMillis + (order.kind() == EngineOrder.Kind.LOAD ? loadMillis : UNLOAD_MILLIS);
        return OrderResult.ACCEPTED;
    }

    /** Completes the current order if it is due. */
    void advanceTo(long nowMillis) {
        if (current.isEmpty() || nowMillis < currentDoneMillis) {
            return;
        }
        String model = current.get().model();
        if (current.get().kind() == EngineOrder.Kind.LOAD) {
            hold(model);
        } else if (runCounts.getOrDefault(model, 0) > 0) {
            return;
        } else {
            models.remove(model);
        }
        current = Optional.empty();
    }

    boolean isLoadingFromStore() {
        return alive
                && current.filter(order -> order.kind() == EngineOrder.Kind.LOAD && !hasCopy(order.model()))
                        .isPresent();
    }

    boolean hasCopy(String model) {
        return inMemory.contains(model) || onDisk.contains(model);
    }

    boolean hasMemoryCopy(String model) {
        return inMemory.contains(model);
    }

    boolean serves(String model) {
        return alive && models.contains(model);
    }

    void startRun(String model) {
        runCounts.merge(model, 1, Integer::sum);
    }

    void endRun(String model) {
        runCounts.merge(model, -1, Integer::sum);
    }

    void crash(long nowMillis) {
        alive = false;
        aliveChangedMillis = nowMillis;
    }

    boolean isAlive() {
        return alive;
    }

    /** Returns when the target started or crashed. */
    long aliveChangedMillis() {
        return aliveChangedMillis;
    }

    Set<String> models() {
        return models;
    }

    EngineReport report() {
        return new EngineReport(
                0, ordersAccepted, current.isPresent(), loadedModels(), Set.copyOf(inMemory), Set.copyOf(onDisk));
    }

    /** Returns the entry that the target's next heartbeat brings. */
    Target nextHeartbeat() {
        heartbeatCount += alive ? 1 : 0;
        return new Target(
                id,
                0,
                heartbeatCount,
                SERVICE,
                new InetSocketAddress("127.0.0.1", 1),
                "zone",
                Integer.MAX_VALUE,
                false,
                OptionalLong.empty(),
                "v1",
                loadedModels(),
                Set.copyOf(inMemory),
                Set.copyOf(onDisk));
    }

    private List<LoadedModel> loadedModels() {
        Map<String, LoadedModel> loaded = new LinkedHashMap<>();
        models.forEach(model -> loaded.put(model, new LoadedModel(model, Set.of())));
        return List.copyOf(loaded.values());
    }
}
