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
 * All requests that wait in a cell, in one queue for each artifact.
 *
 * <p>Invariant: no empty queue is kept. Belongs to the control thread.
 */
final class RequestQueues {
    private static final long NO_DEADLINE = Long.MAX_VALUE;

    private final Map<ArtifactId, ArtifactQueue> queues = new LinkedHashMap<>();
    private final Map<String, ArtifactId> artifactById = new HashMap<>();
    private final Map<String, Integer> countByClass = new HashMap<>();

    void add(WaitingRequest request) {
        ArtifactId artifact = request.request().artifact();
        queues.computeIfAbsent(artifact, absent -> new ArtifactQueue()).add(request);
        artifactById.put(request.request().requestId(), artifact);
        countByClass.merge(request.request().requestClass(), 1, Integer::sum);
    }

    Optional<WaitingRequest> remove(String requestId) {
        ArtifactId artifact = artifactById.remove(requestId);
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

    /** Returns the artifacts that requests wait for, with their queues. */
    Map<ArtifactId, ArtifactQueue> queues() {
        return queues;
    }

    Collection<WaitingRequest> requests() {
        List<WaitingRequest> all = new ArrayList<>(size());
        queues.values().forEach(queue -> all.addAll(queue.requests()));
        return all;
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
            return NO_DEADLINE;
        }
        return queue.requests().stream()
                .mapToLong(WaitingRequest::deadlineMillis)
                .min()
                .orElse(NO_DEADLINE);
    }

    int size() {
        return artifactById.size();
    }
}
