package org.poplarwharf.internal.holder;

import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.poplarwharf.internal.lease.HolderLease;
import org.poplarwharf.internal.topic.TopicFollower;

/**
 * Hands the lease to another node when this one has reached no target for some time and another one does: a holder without
 * targets can neither order loads nor read reports. A change of the holder costs an order gap.
 *
 * <p>Invariant: while this node reaches targets, no timer runs. Confined to the event loop.
 */
final class LeaseHandOver {
    /** Enough for failed probes of further targets, in case that several have crashed at once. */
    private static final long MIN_CUT_OFF_MILLIS = 1_000;

    private static final long CHECK_INTERVAL_MILLIS = 250;

    /** Spares nodes without a holder if the others leave the lease to this one again. */
    private static final long MIN_GAP_MILLIS = 15_000;

    private final HolderLease lease;
    private final BooleanSupplier cutOff;
    private final BooleanSupplier othersReachTargets;
    private final TopicFollower.Timer timer;
    private final LongSupplier clock;
    private long cutOffSinceMillis;
    private long lastMillis = Long.MIN_VALUE / 2;
    private boolean scheduled;

    LeaseHandOver(
            HolderLease lease,
            BooleanSupplier cutOff,
            BooleanSupplier othersReachTargets,
            TopicFollower.Timer timer,
            LongSupplier clock) {
        this.lease = lease;
        this.cutOff = cutOff;
        this.othersReachTargets = othersReachTargets;
        this.timer = timer;
        this.clock = clock;
    }

    /** Handles that this node has lost its paths to all targets, or has one again. */
    void cutOffChanged(boolean latest) {
        cutOffSinceMillis = clock.getAsLong();
        if (latest && !scheduled) {
            scheduled = true;
            timer.schedule(CHECK_INTERVAL_MILLIS, this::check);
        }
    }

    private void check() {
        scheduled = cutOff.getAsBoolean();
        if (!scheduled) {
            return;
        }
        timer.schedule(CHECK_INTERVAL_MILLIS, this::check);
        long nowMillis = clock.getAsLong();
        boolean isDue = nowMillis - cutOffSinceMillis >= MIN_CUT_OFF_MILLIS && nowMillis - lastMillis >= MIN_GAP_MILLIS;
        if (isDue && lease.isHeld() && othersReachTargets.getAsBoolean()) {
            lastMillis = nowMillis;
            lease.handOver();
        }
    }
}
