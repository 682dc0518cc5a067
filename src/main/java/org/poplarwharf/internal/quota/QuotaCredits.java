package org.poplarwharf.internal.quota;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.poplarwharf.internal.fleet.Quota;

/**
 * Units that the lease holder has handed out to this node and that are not used yet. A node asks for somewhat more than the
 * requests that wait, by its recent use, so that it does not ask for each request.
 *
 * <p>Invariant: units are used within {@link #VALID_MILLIS} of the answer that brought them, or given back. Confined to one
 * thread; the current time is passed with each call.
 */
public final class QuotaCredits {
    /** Short against the window over which use is counted, since it delays the use of what was handed out. */
    static final long VALID_MILLIS = 500;

    /** Use is expected for this time ahead. */
    private static final double AHEAD_MILLIS = 250;

    /** At most this part of what an account may use in a second is kept by all nodes, as other nodes can't use it. */
    private static final double MAX_AHEAD_RATIO = 0.1;

    private static final double USE_DECAY_MILLIS = 1_000;

    private final Map<String, Credit> byAccount = new HashMap<>();

    private static final class Credit {
        private double units;
        private long expiresMillis;
        private double recentUse;
        private long usedMillis;

        void decayTo(long nowMillis) {
            recentUse *= Math.exp(-(nowMillis - usedMillis) / USE_DECAY_MILLIS);
            usedMillis = nowMillis;
        }
    }

    /** Uses units of this node, and returns whether there were enough. */
    public boolean tryTake(String account, double units, long nowMillis) {
        Credit credit = byAccount.get(account);
        if (credit == null || credit.expiresMillis <= nowMillis || credit.units < units) {
            return false;
        }
        credit.units -= units;
        recordUse(credit, units, nowMillis);
        return true;
    }

    private static void recordUse(Credit credit, double units, long nowMillis) {
        credit.decayTo(nowMillis);
        credit.recentUse += units;
    }

    /** Returns the units to ask for beyond those of the requests that wait. */
    public double unitsAhead(String account, Quota quota, int nodeCount, long nowMillis) {
        Credit credit = byAccount.get(account);
        if (credit == null) {
            return 0;
        }
        credit.decayTo(nowMillis);
        double expected = credit.recentUse / USE_DECAY_MILLIS * AHEAD_MILLIS;
        return Math.min(expected, quota.perSecond() * MAX_AHEAD_RATIO / Math.max(1, nodeCount));
    }

    /** Adds units that the holder has handed out. */
    public void add(String account, double units, long nowMillis) {
        Credit credit = byAccount.computeIfAbsent(account, name -> new Credit());
        credit.units += units;
        credit.expiresMillis = nowMillis + VALID_MILLIS;
    }

    /** Removes and returns the units that were not used in time, by account. */
    public Map<String, Double> takeExpired(long nowMillis) {
        Map<String, Double> expired = new HashMap<>();
        Iterator<Map.Entry<String, Credit>> entries = byAccount.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<String, Credit> entry = entries.next();
            Credit credit = entry.getValue();
            if (credit.expiresMillis > nowMillis) {
                continue;
            }
            if (credit.units > 0) {
                expired.put(entry.getKey(), credit.units);
                credit.units = 0;
            }
            credit.decayTo(nowMillis);
            if (credit.recentUse < 1e-3) {
                entries.remove();
            }
        }
        return expired;
    }
}
