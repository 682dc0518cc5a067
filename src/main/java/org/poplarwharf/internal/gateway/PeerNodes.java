package org.poplarwharf.internal.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.poplarwharf.internal.fleet.Target;

/**
 * The nodes that reach targets, as the lease holder has last told. Without a holder the last ones stay.
 *
 * <p>Invariant: a node that has failed a request is not picked for a short time, unless all have. Confined to the event loop.
 */
final class PeerNodes {
    private static final long BACKOFF_MILLIS = 2_000;

    private final Map<String, Long> failedMillisById = new HashMap<>();
    private List<Target> nodes = List.of();
    private int pickCount;

    /** Replaces the known nodes. */
    void replaceAll(List<PeerNode> latest) {
        nodes = latest.stream()
                .map(node -> Target.ofNode(node.nodeId(), node.address()))
                .toList();
        failedMillisById
                .keySet()
                .removeIf(id -> nodes.stream().noneMatch(node -> node.id().equals(id)));
    }

    boolean isEmpty() {
        return nodes.isEmpty();
    }

    /** Picks a node in turn. */
    Optional<Target> pick(Set<String> excluded, long nowMillis) {
        List<Target> allowed =
                nodes.stream().filter(node -> !excluded.contains(node.id())).toList();
        List<Target> sound = allowed.stream()
                .filter(node -> nowMillis - failedMillisById.getOrDefault(node.id(), nowMillis - BACKOFF_MILLIS)
                        >= BACKOFF_MILLIS)
                .toList();
        List<Target> candidates = sound.isEmpty() ? allowed : sound;
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        pickCount++;
        return Optional.of(candidates.get(pickCount % candidates.size()));
    }

    void recordFailure(Target node, long nowMillis) {
        failedMillisById.put(node.id(), nowMillis);
    }
}
