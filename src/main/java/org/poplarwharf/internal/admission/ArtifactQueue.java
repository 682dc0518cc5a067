package org.poplarwharf.internal.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * The requests that wait for one artifact: by priority of their class, then by fair share among tenants, then in order of
 * arrival.
 *
 * <p>Invariant: each request id stands at most once. Belongs to the control thread.
 */
final class ArtifactQueue {
    private final TreeMap<Integer, Map<String, Deque<WaitingRequest>>> byPriority =
            new TreeMap<>(Comparator.reverseOrder());
    private final Map<String, WaitingRequest> byId = new HashMap<>();

    void add(WaitingRequest waiting) {
        byId.put(waiting.request().requestId(), waiting);
        byPriority
                .computeIfAbsent(waiting.priority(), priority -> new LinkedHashMap<>())
                .computeIfAbsent(waiting.request().tenant(), tenant -> new ArrayDeque<>())
                .addLast(waiting);
    }

    Optional<WaitingRequest> remove(String requestId) {
        WaitingRequest waiting = byId.remove(requestId);
        if (waiting == null) {
            return Optional.empty();
        }
        Map<String, Deque<WaitingRequest>> tenants = byPriority.get(waiting.priority());
        String tenant = waiting.request().tenant();
        Deque<WaitingRequest> deque = tenants.get(tenant);
        deque.remove(waiting);
        if (deque.isEmpty()) {
            tenants.remove(tenant);
        }
        if (tenants.isEmpty()) {
            byPriority.remove(waiting.priority());
        }
        return Optional.of(waiting);
    }

    /** Returns the first request, in the queue's order, that passes the test. */
    Optional<WaitingRequest> findFirst(FairShare share, Predicate<WaitingRequest> test) {
        for (Map<String, Deque<WaitingRequest>> tenants : byPriority.values()) {
            List<String> names = new ArrayList<>(tenants.keySet());
            names.sort(Comparator.comparingDouble(share::usage));
            for (String tenant : names) {
                Optional<WaitingRequest> found = firstOf(tenants.get(tenant), test);
                if (found.isPresent()) {
                    return found;
                }
            }
        }
        return Optional.empty();
    }

    /** Returns the request of the lowest priority that has waited longest. */
    Optional<WaitingRequest> findOldestOfLowestPriority(Predicate<WaitingRequest> test) {
        return byId.values().stream()
                .filter(waiting -> waiting.priority() == byPriority.lastKey())
                .filter(test)
                .min(Comparator.comparingLong(WaitingRequest::arrivedAtMillis));
    }

    private static Optional<WaitingRequest> firstOf(Deque<WaitingRequest> deque, Predicate<WaitingRequest> test) {
        for (WaitingRequest waiting : deque) {
            if (test.test(waiting)) {
                return Optional.of(waiting);
            }
        }
        return Optional.empty();
    }

    /** Returns how many requests of this priority or a higher one wait. */
    int countAtOrAbove(int priority) {
        int count = 0;
        for (Map.Entry<Integer, Map<String, Deque<WaitingRequest>>> entry : byPriority.entrySet()) {
            if (entry.getKey() < priority) {
                break;
            }
            for (Deque<WaitingRequest> deque : entry.getValue().values()) {
                count += deque.size();
            }
        }
        return count;
    }

    Collection<WaitingRequest> requests() {
        return List.copyOf(byId.values());
    }

    boolean hasSeveralPriorities() {
        return byPriority.size() > 1;
    }

    int highestPriority() {
        return byPriority.isEmpty() ? 0 : byPriority.firstKey();
    }

    int lowestPriority() {
        return byPriority.isEmpty() ? 0 : byPriority.lastKey();
    }

    int size() {
        return byId.size();
    }

    boolean isEmpty() {
        return byId.isEmpty();
    }
}
