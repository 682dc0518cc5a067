package org.poplarwharf.internal.holder;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.poplarwharf.internal.gateway.GatewayMetrics;
import org.poplarwharf.internal.kernel.DecisionLog;

/**
 * Writes the log records and metrics on the quotas of client accounts at this node.
 *
 * <p>Invariant: one record when an account begins to be limited here and one when it no longer is, however many requests are
 * refused. Confined to the event loop.
 */
final class QuotaRecorder {
    /** An account without a refusal for this long is no longer limited. */
    private static final long QUIET_MILLIS = 5_000;

    private final GatewayMetrics metrics;
    private final DecisionLog log;
    private final Map<String, Limited> limitedByAccount = new HashMap<>();

    private static final class Limited {
        private final long sinceMillis;
        private long lastMillis;
        private long refusedCount;

        Limited(long sinceMillis) {
            this.sinceMillis = sinceMillis;
        }
    }

    QuotaRecorder(GatewayMetrics metrics, DecisionLog log) {
        this.metrics = metrics;
        this.log = log;
    }

    void recordAdmitted(String account, double units) {
        metrics.countAdmitted(account, Math.round(units));
    }

    /** Records a refusal for want of units. */
    void recordRefused(String account, long nowMillis) {
        metrics.countOverQuota(account);
        Limited limited = limitedByAccount.get(account);
        if (limited == null) {
            limited = new Limited(nowMillis);
            limitedByAccount.put(account, limited);
            log.log("account-limited", "account", account);
        }
        limited.lastMillis = nowMillis;
        limited.refusedCount++;
    }

    /** To be called now and then. */
    void check(long nowMillis) {
        Iterator<Map.Entry<String, Limited>> entries =
                limitedByAccount.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<String, Limited> entry = entries.next();
            Limited limited = entry.getValue();
            if (nowMillis - limited.lastMillis < QUIET_MILLIS) {
                continue;
            }
            entries.remove();
            log.log(
                    "account-within-quota",
                    "account",
                    entry.getKey(),
                    "limitedMillis",
                    limited.lastMillis - limited.sinceMillis,
                    "refused",
                    limited.refusedCount);
        }
    }
}
