package org.poplarwharf.internal.gateway;

/**
 * The number of nodes, from the counts that the lease holder reports. A holder counts the nodes that are connected to
 * it, which are too few while they reconnect after a change of the holder or while some are cut off from it.
 *
 * <p>Invariant: the estimate falls only after all counts have been lower for a hold time. Confined to one thread.
 */
final class NodeCountEstimate {
    private int count;
    private boolean falling;
    private long lowerSinceMillis;
    private int highestLowerCount;

    /** Returns the estimate, or zero if no count has been reported yet. */
    int count() {
        return count;
    }

    void recordReport(int reportedCount, long nowMillis, long holdMillis) {
        if (reportedCount >= count) {
            count = reportedCount;
            falling = false;
            return;
        }
        if (!falling) {
            falling = true;
            lowerSinceMillis = nowMillis;
            highestLowerCount = 0;
        }
        highestLowerCount = Math.max(highestLowerCount, reportedCount);
        if (nowMillis - lowerSinceMillis >= holdMillis) {
            count = highestLowerCount;
            falling = false;
        }
    }
}
