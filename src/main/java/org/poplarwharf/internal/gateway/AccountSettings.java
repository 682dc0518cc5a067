package org.poplarwharf.internal.gateway;

import org.poplarwharf.internal.fleet.Quota;

/**
 * How exactly keys and quotas of client accounts must be kept. Immutable and thread-safe.
 *
 * @param strictRevocation whether a node refuses requests with keys once it can't tell that its plan is the latest
 * @param revocationMillis how long such a node may go on by the plan that it knows
 * @param windowMillis the window over which the use of a quota is counted
 * @param excessRatio the ratio by which the use within a window may exceed the quota
 * @param slackUnits units by which the use within a window may exceed the quota, in addition to the ratio
 */
public record AccountSettings(
        boolean strictRevocation, long revocationMillis, long windowMillis, double excessRatio, double slackUnits) {
    /** Defaults for settings that a deployment omits. */
    public static final AccountSettings DEFAULTS = new AccountSettings(false, 5_000, 8_000, 0.1, 0);

    /** Half of the permitted excess is for requests that use more than can be saved, the other half for failures. */
    private static final double DEBT_RATIO = 0.5;

    /**
     * Returns the units by which a single request may exceed what its account can save. A request that counts as one is
     * never too large, also where a quota has no burst.
     */
    public double maxDebtUnits(Quota quota) {
        double windowUnits = quota.perSecond() * windowMillis / 1_000 + quota.burst();
        return Math.max(1, slackUnits + DEBT_RATIO * excessRatio * windowUnits);
    }
}
