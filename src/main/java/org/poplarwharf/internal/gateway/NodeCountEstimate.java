package org.poplarwharf.internal.gateway;

import java.util.OptionalLong;

/**
 * The number of nodes, from the counts that the lease holder reports. A holder counts the nodes that are connected to
 * it, which are too few while they reconnect after a change of the holder or while some are cut off from it.
 *
 * <p>Invariants: the first estimate is the highest count of a settling time, or what another node has stated; it falls only after all counts have been
 * lower for a hold time. Confined to one thread.
 */
public final class NodeCountEstimate {
    /** All nodes reconnect to a new holder within this time. */
    private static final long SETTLING_MILLIS = 2_000;

    private int count;
    private OptionalLong firstReportMillis = OptionalLong.empty();
    private boolean settled;
    private boolean falling;
    private long lowerSinceMillis;
    private int highestLowerCount;

    /** Returns the estimate, or zero if it is not known yet. */
    public int count() {
        return settled ? count : 0;
    }

    /** Records the estimate of another node, which is as good as an own one until this node has that. */
    public void recordStatement(int statedCount) {
        if (!settled && statedCount > 0) {
            count = Math.max(count, statedCount);
            settled = true;
        }
    }

    /** Records the number of nodes that the lease holder has reported. */
    public void recordReport(int reportedCount, long nowMillis, long holdMillis) {
        if (firstReportMillis.isEmpty()) {
            firstReportMillis = OptionalLong.of(nowMillis);
        }
        settled |= nowMillis - firstReportMillis.getAsLong() >= SETTLING_MILLIS;
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
