package org.poplarwharf.soak;

import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Collectors;

/** What the targets did: the requests that they ran and the orders that they took. Thread-safe. */
final class Runs {
    private final Queue<Run> runs = new ConcurrentLinkedQueue<>();
    private final Queue<Order> orders = new ConcurrentLinkedQueue<>();
    private final Queue<String> breaches = new ConcurrentLinkedQueue<>();

    /**
     * A request that a target began to run.
     *
     * @param afterEvent the last event of a former run that this one continues; zero where it begins anew
     */
    record Run(String id, String target, long atMillis, String line, String body, long afterEvent) {}

    /**
     * An order that reached a target's process.
     *
     * @param lifetime of the target: its id and start
     * @param fromStore tells whether it began a load from the weight store
     */
    record Order(long atMillis, String lifetime, String holder, long fencingNumber, String what, boolean fromStore) {}

    void add(Run run) {
        runs.add(run);
    }

    void add(Order order) {
        orders.add(order);
    }

    /** Notes that a target was made to do what it can't. */
    void breach(String what) {
        breaches.add(what);
    }

    Map<String, List<Run>> byRequest() {
        return runs.stream().filter(run -> !run.id().isEmpty()).collect(Collectors.groupingBy(Run::id));
    }

    Map<String, List<Order>> ordersByLifetime() {
        return orders.stream().collect(Collectors.groupingBy(Order::lifetime));
    }

    List<Order> orders() {
        return List.copyOf(orders);
    }

    List<String> breaches() {
        return List.copyOf(breaches);
    }
}
