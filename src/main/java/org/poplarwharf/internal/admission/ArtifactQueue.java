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
 * The requests that wait for one artifact, ordered by class priority, then by fair share among tenants, then by
 * arrival.
 *
 * <p>Invariant: each request id occurs at most once. Confined to the control thread.
 */
final class ArtifactQueue {
    private final TreeMap<Integer, Map<String, Deque<WaitingRequest>>> queuesByPriority =
            new TreeMap<>(Comparator.reverseOrder());
    private final Map<String, WaitingRequest> byRequestId = new HashMap<>();

    void add(WaitingRequest request) {
        byRequestId.put(request.request().requestId(), request);
        queuesByPriority
                .computeIfAbsent(request.priority(), priority -> new LinkedHashMap<>())
                .computeIfAbsent(request.request().tenant(), tenant -> new ArrayDeque<>())
                .addLast(request);
    }

    Optional<WaitingRequest> remove(String requestId) {
        WaitingRequest request = byRequestId.remove(requestId);
        if (request == null) {
            return Optional.empty();
        }
        Map<String, Deque<WaitingRequest>> queueByTenant = queuesByPriority.get(request.priority());
        String tenant = request.request().tenant();
        Deque<WaitingRequest> tenantQueue = queueByTenant.get(tenant);
        tenantQueue.remove(request);
        if (tenantQueue.isEmpty()) {
            queueByTenant.remove(tenant);
        }
        if (queueByTenant.isEmpty()) {
            queuesByPriority.remove(request.priority());
        }
        return Optional.of(request);
    }

    /** Returns the first request in queue order that satisfies the predicate. */
    Optional<WaitingRequest> findFirst(FairShare fairShare, Predicate<WaitingRequest> predicate) {
        for (Map<String, Deque<WaitingRequest>> queueByTenant : queuesByPriority.values()) {
            List<String> tenantNames = new ArrayList<>(queueByTenant.keySet());
            tenantNames.sort(Comparator.comparingDouble(fairShare::usage));
            for (String tenant : tenantNames) {
                Optional<WaitingRequest> match = findFirstIn(queueByTenant.get(tenant), predicate);
                if (match.isPresent()) {
                    return match;
                }
            }
        }
        return Optional.empty();
    }

    /** Returns the oldest request of the lowest priority that satisfies the predicate. */
    Optional<WaitingRequest> findOldestOfLowestPriority(Predicate<WaitingRequest> predicate) {
        return byRequestId.values().stream()
                .filter(request -> request.priority() == queuesByPriority.lastKey())
                .filter(predicate)
                .min(Comparator.comparingLong(WaitingRequest::arrivedAtMillis));
    }

    private static Optional<WaitingRequest> findFirstIn(
            Deque<WaitingRequest> tenantQueue, Predicate<WaitingRequest> predicate) {
        for (WaitingRequest request : tenantQueue) {
            if (predicate.test(request)) {
                return Optional.of(request);
            }
        }
        return Optional.empty();
    }

    /** Returns the number of request requests of this or a higher priority. */
    int countAtOrAbove(int priority) {
        int count = 0;
        for (Map.Entry<Integer, Map<String, Deque<WaitingRequest>>> entry : queuesByPriority.entrySet()) {
            if (entry.getKey() < priority) {
                break;
            }
            for (Deque<WaitingRequest> tenantQueue : entry.getValue().values()) {
                count += tenantQueue.size();
            }
        }
        return count;
    }

    Collection<WaitingRequest> requests() {
        return List.copyOf(byRequestId.values());
    }

    boolean hasSeveralPriorities() {
        return queuesByPriority.size() > 1;
    }

    int highestPriority() {
        return queuesByPriority.isEmpty() ? 0 : queuesByPriority.firstKey();
    }

    int lowestPriority() {
        return queuesByPriority.isEmpty() ? 0 : queuesByPriority.lastKey();
    }

    int size() {
        return byRequestId.size();
    }

    boolean isEmpty() {
        return byRequestId.isEmpty();
    }
}
