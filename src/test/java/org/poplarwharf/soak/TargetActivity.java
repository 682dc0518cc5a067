package org.poplarwharf.soak;

import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Collectors;

/** Records the requests that the targets ran and the orders that they received. Thread-safe. */
final class TargetActivity {
    private final Queue<Run> runs = new ConcurrentLinkedQueue<>();
    private final Queue<Order> orders = new ConcurrentLinkedQueue<>();
    private final Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
    private final Queue<LateCopy> lateCopies = new ConcurrentLinkedQueue<>();
    private final Queue<LimitPeriod> limitPeriods = new ConcurrentLinkedQueue<>();
    private final Queue<String> violations = new ConcurrentLinkedQueue<>();

    /**
     * A request that a target started to run.
     *
     * @param lastEventId the last event of the earlier run that this run resumes after; zero for a new run
     */
    record Run(String id, String target, long startMillis, String requestLine, String body, long lastEventId) {}

    /**
     * An order that a target's process received.
     *
     * @param incarnation the target's process run: its id and start time
     * @param loadsFromStore whether it started a load from the weight store
     */
    record Order(
            long receivedMillis,
            String incarnation,
            String holder,
            long fencingNumber,
            String description,
            boolean loadsFromStore) {}

    /** A request that reached a target, whether it was run or rejected. */
    record Arrival(String requestId, String target, long arrivedMillis) {}

    /** A refusal of an earlier request, without its id, that a target sent in place of the response to a request. */
    record LateCopy(String requestId, String target, long sentMillis) {}

    /** A time in which all responses of a target name a limit. */
    record LimitPeriod(String target, double requestsPerSecond, long startMillis, long endMillis) {}

    void add(Arrival arrival) {
        arrivals.add(arrival);
    }

    void add(LateCopy copy) {
        lateCopies.add(copy);
    }

    void add(LimitPeriod period) {
        limitPeriods.add(period);
    }

    void add(Run run) {
        runs.add(run);
    }

    void add(Order order) {
        orders.add(order);
    }

    /** Records that a gateway or an order violated a limit. */
    void recordViolation(String description) {
        violations.add(description);
    }

    Map<String, List<Run>> runsByRequestId() {
        return runs.stream().filter(run -> !run.id().isEmpty()).collect(Collectors.groupingBy(Run::id));
    }

    Map<String, List<Order>> ordersByIncarnation() {
        return orders.stream().collect(Collectors.groupingBy(Order::incarnation));
    }

    List<Order> orders() {
        return List.copyOf(orders);
    }

    Map<String, List<Arrival>> arrivalsByRequestId() {
        return arrivals.stream().collect(Collectors.groupingBy(Arrival::requestId));
    }

    List<Arrival> arrivalsAt(String target) {
        return arrivals.stream()
                .filter(arrival -> arrival.target().equals(target))
                .toList();
    }

    /** Returns the targets that sent a request the refusal of an earlier one. */
    Set<String> targetsWithLateCopies(String requestId) {
        return lateCopies.stream()
                .filter(copy -> copy.requestId().equals(requestId))
                .map(LateCopy::target)
                .collect(Collectors.toSet());
    }

    List<LimitPeriod> limitPeriods() {
        return List.copyOf(limitPeriods);
    }

    List<String> violations() {
        return List.copyOf(violations);
    }
}
