package org.poplarwharf.internal.quota;

import java.util.HashMap;
import java.util.Map;
import org.poplarwharf.internal.fleet.Quota;

/**
 * What this node may let accounts use by itself while no lease holder responds: an even share of each quota, counted
 * from the holder's last message.
 *
 * <p>Load: single nodes, or all of them, without a holder for some seconds.
 *
 * <p>Invariants: nothing is saved before the holder fell silent, so that the sum over all nodes is at most the rate times
 * the silence. A share is used for a limited time, since others use it once they no longer count this node. A node that
 * doesn't know how many nodes there are assumes the largest deployment. Confined to one thread;
 * the current time is passed with each call.
 */
public final class SilentHolderShare {
    /** The size of the largest deployment, in nodes. */
    private static final int MAX_NODE_COUNT = 2_000;

    /** This node was suspended if it was not run for this long; others may have used its share meanwhile. */
    private static final long MAX_PAUSE_MILLIS = 500;

    private final long maxSavedMillis;
    private final long maxSilentMillis;
    private final Map<String, Double> usedByAccount = new HashMap<>();
    private long contactMillis;

    /** The time from which units accrue: that of the last contact, or the end of a suspension since. */
    private long accrualStartMillis;

    private long lastTickMillis;
    private int nodeCount;

    /**
     * Creates the share of a node that has heard no holder yet.
     *
     * @param maxSavedMillis the longest time for which unused units are kept
     * @param maxSilentMillis how long after the holder's last message the share may be used; a holder that this node
     *     can't reach no longer counts the node after a longer time, and hands its share out to others
     */
    public SilentHolderShare(long maxSavedMillis, long maxSilentMillis, long nowMillis) {
        this.maxSavedMillis = maxSavedMillis;
        this.maxSilentMillis = maxSilentMillis;
        this.contactMillis = nowMillis;
        this.accrualStartMillis = nowMillis;
        this.lastTickMillis = nowMillis;
    }

    /** Records a message of the holder, which decides from then on. */
    public void recordContact(long nowMillis) {
        contactMillis = nowMillis;
        lastTickMillis = nowMillis;
        restartAccrual(nowMillis);
    }

    private void restartAccrual(long nowMillis) {
        accrualStartMillis = nowMillis;
        usedByAccount.clear();
    }

    /** Records the number of nodes; zero if it is not known. */
    public void setNodeCount(int count) {
        nodeCount = count;
    }

    /** To be called several times a second. Drops what is saved if the process was suspended. */
    public void tick(long nowMillis) {
        if (nowMillis - lastTickMillis > MAX_PAUSE_MILLIS) {
            restartAccrual(nowMillis);
        }
        lastTickMillis = nowMillis;
    }

    /** Returns for how long no holder has sent anything. */
    public long silentMillis(long nowMillis) {
        return nowMillis - contactMillis;
    }

    /** Uses units of this node's share, and returns whether there were enough. */
    public boolean tryTake(String account, Quota quota, double units, long nowMillis) {
        tick(nowMillis);
        if (silentMillis(nowMillis) > maxSilentMillis) {
            return false;
        }
        double perMilli = quota.perSecond() / 1_000 / (nodeCount > 0 ? nodeCount : MAX_NODE_COUNT);
        double accrued = (nowMillis - accrualStartMillis) * perMilli;
        double used = Math.max(usedByAccount.getOrDefault(account, 0.0), accrued - maxSavedMillis * perMilli);
        if (used + units > accrued) {
            return false;
        }
        usedByAccount.put(account, used + units);
        return true;
    }
}
