package org.poplarwharf.internal.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * The nodes whose requests are placed, the deciding node among them, and since when each reaches targets as it states
 * itself.
 *
 * <p>Invariant: the deciding node is always known. Confined to one thread; the current time is passed with each call.
 */
public final class RequestNodes {
    /** The name of the node that decides. */
    public static final String OWN = "";

    private static final long ALWAYS_MILLIS = Long.MIN_VALUE;
    private static final long CUT_OFF_MILLIS = Long.MAX_VALUE;

    private final Map<String, Long> reachingSinceMillisByNode = new HashMap<>(Map.of(OWN, ALWAYS_MILLIS));
    private int reachingCount = 1;

    /** Adds a node, which is believed to reach targets until it states otherwise. */
    public void add(String node) {
        put(node, ALWAYS_MILLIS);
    }

    public void remove(String node) {
        Long sinceMillis = reachingSinceMillisByNode.remove(node);
        reachingCount -= sinceMillis != null && sinceMillis != CUT_OFF_MILLIS ? 1 : 0;
    }

    /** Records whether a known node reaches targets. */
    public void recordState(String node, boolean reachesTargets, long nowMillis) {
        Long sinceMillis = reachingSinceMillisByNode.get(node);
        if (sinceMillis != null && reachesTargets != (sinceMillis != CUT_OFF_MILLIS)) {
            put(node, reachesTargets ? nowMillis : CUT_OFF_MILLIS);
        }
    }

    private void put(String node, long sinceMillis) {
        remove(node);
        reachingSinceMillisByNode.put(node, sinceMillis);
        reachingCount += sinceMillis != CUT_OFF_MILLIS ? 1 : 0;
    }

    /** Returns whether the node is known and has reached targets from then on. */
    boolean reachesTargetsSince(String node, long millis) {
        return reachingSinceMillisByNode.getOrDefault(node, CUT_OFF_MILLIS) <= millis;
    }

    /** Returns the number of nodes that reach targets. */
    int reachingCount() {
        return reachingCount;
    }
}
