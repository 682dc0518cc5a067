package org.poplarwharf.internal.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.poplarwharf.plugins.ArtifactId;

/**
 * All waiting requests of a cell, in one queue per artifact.
 *
 * <p>Invariant: empty queues are removed. Confined to the control thread.
 */
final class RequestQueues {
    private static final long NO_DEADLINE_MILLIS = Long.MAX_VALUE;

    private final Map<ArtifactId, ArtifactQueue> queues = new LinkedHashMap<>();
    private final Map<String, ArtifactId> artifactByRequestId = new HashMap<>();
    private final Map<String, Integer> countByClass = new HashMap<>();

    void add(WaitingRequest request) {
        ArtifactId artifact = request.request().artifact();
        queues.computeIfAbsent(artifact, key -> new ArtifactQueue()).add(request);
        artifactByRequestId.put(request.request().requestId(), artifact);
        countByClass.merge(request.request().requestClass(), 1, Integer::sum);
    }

    Optional<WaitingRequest> remove(String requestId) {
        ArtifactId artifact = artifactByRequestId.remove(requestId);
        if (artifact == null) {
            return Optional.empty();
        }
        ArtifactQueue queue = queues.get(artifact);
        Optional<WaitingRequest> removed = queue.remove(requestId);
        removed.ifPresent(request -> countByClass.merge(request.request().requestClass(), -1, Integer::sum));
        if (queue.isEmpty()) {
            queues.remove(artifact);
        }
        return removed;
    }

    /** Returns the queues by artifact. */
    Map<ArtifactId, ArtifactQueue> queues() {
        return queues;
    }

    Collection<WaitingRequest> requests() {
        List<WaitingRequest> requests = new ArrayList<>(size());
        queues.values().forEach(queue -> requests.addAll(queue.requests()));
        return requests;
    }

    int count(ArtifactId artifact) {
        ArtifactQueue queue = queues.get(artifact);
        return queue == null ? 0 : queue.size();
    }

    int countAtOrAbove(ArtifactId artifact, int priority) {
        ArtifactQueue queue = queues.get(artifact);
        return queue == null ? 0 : queue.countAtOrAbove(priority);
    }

    int countOfClass(String requestClass) {
        return countByClass.getOrDefault(requestClass, 0);
    }

    int highestPriority(ArtifactId artifact) {
        ArtifactQueue queue = queues.get(artifact);
        return queue == null ? 0 : queue.highestPriority();
    }

    long earliestDeadlineMillis(ArtifactId artifact) {
        ArtifactQueue queue = queues.get(artifact);
        if (queue == null) {
            return NO_DEADLINE_MILLIS;
        }
        return queue.requests().stream()
                .mapToLong(WaitingRequest::deadlineMillis)
                .min()
                .orElse(NO_DEADLINE_MILLIS);
    }

    int size() {
        return artifactByRequestId.size();
    }
}
