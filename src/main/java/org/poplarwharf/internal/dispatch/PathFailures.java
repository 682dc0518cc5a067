package org.poplarwharf.internal.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Failed connections to one target, by the node that they failed at. A failure keeps the target from that node. It keeps
 * the target from all nodes only if the path of a single node can't be the cause: connections of two nodes have failed, or
 * of the only one that reaches targets.
 *
 * <p>Invariants: neither a failure at a node that has reached no target since, nor one after which another node got a
 * response from the target, keeps the target from other nodes. A node's failures are forgotten once a further one would
 * start the shortest backoff again. Confined to one thread; the current time is passed with each call.
 */
final class PathFailures {
    private static final long INITIAL_BACKOFF_MILLIS = 500;
    private static final long MAX_BACKOFF_MILLIS = 4_000;

    /** A failure soon after the longest backoff is one more of the same series. */
    private static final long MEMORY_MILLIS = 2 * MAX_BACKOFF_MILLIS;

    private static final int MIN_WITNESS_COUNT = 2;

    private final RequestNodes nodes;
    private final Map<String, Path> pathByNode = new HashMap<>();
    private FailureBackoff common = newBackoff();

    /** The failures of one node. */
    private static final class Path {
        private final FailureBackoff backoff = newBackoff();
        private long failedMillis;
        private boolean refuted;
    }

    PathFailures(RequestNodes nodes) {
        this.nodes = nodes;
    }

    private static FailureBackoff newBackoff() {
        return new FailureBackoff(INITIAL_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS);
    }

    void recordFailure(String node, long nowMillis) {
        removeExpired(nowMillis);
        Path path = pathByNode.computeIfAbsent(node, name -> new Path());
        path.backoff.recordFailure(nowMillis);
        path.failedMillis = nowMillis;
        path.refuted = false;
        if (isWitness(node, path) && isCorroborated()) {
            common.recordFailure(nowMillis);
        }
    }

    /** Records that a node got a response: the next failure starts with the shortest backoff. */
    void recordSuccess(String node) {
        if (pathByNode.isEmpty()) {
            return;
        }
        common.recordSuccess();
        pathByNode.forEach((name, path) -> {
            if (name.equals(node)) {
                path.backoff.recordSuccess();
            } else {
                path.refuted = true;
            }
        });
    }

    /** Forgets failures that matter no more. */
    void removeExpired(long nowMillis) {
        if (!pathByNode.isEmpty()
                && pathByNode.values().removeIf(path -> nowMillis - path.failedMillis > MEMORY_MILLIS)
                && pathByNode.isEmpty()) {
            common = newBackoff();
        }
    }

    /** Returns how much longer the target gets no requests of a node. */
    long remainingMillis(String node, long nowMillis) {
        Path path = pathByNode.get(node);
        return path == null ? 0 : path.backoff.remainingMillis(nowMillis);
    }

    /** Returns whether the target gets no requests of any node. */
    boolean keepFromAll(long nowMillis) {
        return common.remainingMillis(nowMillis) > 0 && isCorroborated();
    }

    private boolean isCorroborated() {
        int neededCount = Math.clamp(nodes.reachingCount(), 1, MIN_WITNESS_COUNT);
        return pathByNode.entrySet().stream()
                        .filter(entry -> isWitness(entry.getKey(), entry.getValue()))
                        .limit(neededCount)
                        .count()
                == neededCount;
    }

    private boolean isWitness(String node, Path path) {
        return !path.refuted && nodes.reachesTargetsSince(node, path.failedMillis);
    }
}
