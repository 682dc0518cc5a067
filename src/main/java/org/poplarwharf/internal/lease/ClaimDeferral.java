package org.poplarwharf.internal.lease;

import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Leaves a free lease to nodes that reach targets: one that reaches none can order no loads. It claims the lease only if no
 * other node does for some time. Confined to one event loop.
 */
final class ClaimDeferral {
    /** Several times the interval at which other nodes read the lease. */
    private static final long MAX_MILLIS = 4_000;

    private final BooleanSupplier reachesTargets;
    private final LongSupplier steadyClock;
    private OptionalLong freeSinceMillis = OptionalLong.empty();

    ClaimDeferral(BooleanSupplier reachesTargets, LongSupplier steadyClock) {
        this.reachesTargets = reachesTargets;
        this.steadyClock = steadyClock;
    }

    /** Returns whether to leave a lease that is free now to other nodes. */
    boolean defers() {
        long nowMillis = steadyClock.getAsLong();
        if (freeSinceMillis.isEmpty()) {
            freeSinceMillis = OptionalLong.of(nowMillis);
        }
        return !reachesTargets.getAsBoolean() && nowMillis - freeSinceMillis.getAsLong() < MAX_MILLIS;
    }

    /** Records that a node holds the lease. */
    void leaseTaken() {
        freeSinceMillis = OptionalLong.empty();
    }
}
