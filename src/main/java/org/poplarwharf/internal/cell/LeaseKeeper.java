package org.poplarwharf.internal.cell;

import io.activej.promise.Promise;
import java.util.Collection;
import java.util.Optional;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.kernel.NodeSettings;
import org.poplarwharf.internal.log.RecordStream;
import org.poplarwharf.internal.log.RecordStream.Applied;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellRecord.Author;
import org.poplarwharf.internal.state.CellRecord.LeaseClaimed;
import org.poplarwharf.internal.state.CellRecord.LeaseReleased;
import org.poplarwharf.internal.state.CellRecord.LeaseRenewed;
import org.poplarwharf.internal.state.CellStateView;
import org.poplarwharf.internal.state.CellStateView.Lease;

/**
 * Claims, renews and releases the lease of one cell.
 *
 * <p>Invariant: a holder counts its lease from before it sent the claim or renewal that was read back accepted; a
 * challenger counts from after it read the last renewal, plus the drift bound. The fold alone decides who holds; the
 * clock only keeps claims from failing there. Belongs to the control thread.
 */
final class LeaseKeeper {
    /** Longer than a read of an idle stream waits; a longer silence of the log is an outage. */
    private static final long SILENCE_MILLIS = 10_000;

    private final String cell;
    private final Author self;
    private final NodeSettings settings;
    private final MonotonicClock clock;
    private final RecordStream<CellRecord> stream;
    private final CellStateView state;

    private long validUntilMillis;
    private long validEpoch = -1;
    private long lastSentMillis;
    private long seenAtMillis;
    private boolean appending;
    private boolean draining;

    LeaseKeeper(
            String cell,
            Author self,
            NodeSettings settings,
            MonotonicClock clock,
            RecordStream<CellRecord> stream,
            CellStateView state) {
        this.cell = cell;
        this.self = self;
        this.settings = settings;
        this.clock = clock;
        this.stream = stream;
        this.state = state;
        this.seenAtMillis = clock.nowMillis();
        stream.onApplied(this::applied);
    }

    /** Tells whether this node may append under the lease and send orders now. */
    boolean holds() {
        return !draining && isOwn() && validEpoch == state.epoch() && clock.nowMillis() < validUntilMillis;
    }

    /** Tells whether the last claim read is this node's, whether or not its time has passed. */
    boolean isLastHolder() {
        return isOwn();
    }

    /** Tells whether a claim of this node is on its way. */
    boolean isClaiming() {
        return appending && !isOwn();
    }

    long epoch() {
        return state.epoch();
    }

    /** Takes the next step; called at short intervals with the ids of the nodes that are known to live. */
    void tick(Collection<String> nodeIds) {
        restartCountAfterOutage();
        if (appending || draining || !stream.caughtUp()) {
            return;
        }
        if (isOwn()) {
            renewWhenDue();
            return;
        }
        if (mayClaim(nodeIds)) {
            claim();
        }
    }

    /** Gives the lease up; completes when the release was read back or the log did not take it in time. */
    Promise<Void> release() {
        draining = true;
        if (!isOwn()) {
            return Promise.complete();
        }
        return stream.commit(new LeaseReleased(state.epoch()), settings.leaseMillis())
                .map((applied, failure) -> null);
    }

    private boolean isOwn() {
        return state.lease()
                .map(lease -> !lease.released() && lease.holder().equals(self))
                .orElse(false);
    }

    /** Gives the holder the time to renew once the log answers again, before anyone claims. */
    private void restartCountAfterOutage() {
        if (stream.millisSinceAnswer() > SILENCE_MILLIS) {
            seenAtMillis = clock.nowMillis();
        }
    }

    private void restartCountUnlessOwn() {
        if (!isOwn()) {
            seenAtMillis = clock.nowMillis();
        }
    }

    private void renewWhenDue() {
        long nowMillis = clock.nowMillis();
        boolean unproved = validEpoch != state.epoch();
        if (!unproved && nowMillis - lastSentMillis < settings.leaseRenewMillis()) {
            return;
        }
        append(new LeaseRenewed(state.epoch()), state.epoch());
    }

    private boolean mayClaim(Collection<String> nodeIds) {
        long staggerMillis = RendezvousRank.of(cell, self.nodeId(), nodeIds) * settings.maxClockDriftMillis();
        long waitMillis = state.lease().map(this::waitMillis).orElse(settings.maxClockDriftMillis());
        return clock.nowMillis() - seenAtMillis >= waitMillis + staggerMillis;
    }

    private long waitMillis(Lease lease) {
        boolean ownEarlierRun =
                lease.holder().nodeId().equals(self.nodeId()) && lease.holder().incarnation() < self.incarnation();
        if (lease.released() || ownEarlierRun) {
            return 0;
        }
        return lease.durationMillis() + settings.maxClockDriftMillis();
    }

    private void claim() {
        Optional<Lease> lease = state.lease();
        long previousEpoch = lease.map(Lease::epoch).orElse(-1L);
        long previousRenewal = lease.map(Lease::renewalOffset).orElse(-1L);
        append(
                new LeaseClaimed(
                        self, settings.advertisedPeerAddress(), previousEpoch, previousRenewal, settings.leaseMillis()),
                -1);
    }

    private void append(CellRecord record, long epoch) {
        long sentMillis = clock.nowMillis();
        appending = true;
        lastSentMillis = sentMillis;
        stream.commit(record, settings.leaseMillis()).whenComplete((applied, failure) -> {
            appending = false;
            if (failure != null) {
                restartCountUnlessOwn();
                return;
            }
            if (!applied.accepted()) {
                return;
            }
            validEpoch = epoch < 0 ? applied.offset() : epoch;
            validUntilMillis = sentMillis + settings.leaseMillis();
        });
    }

    private void applied(CellRecord record, Applied applied) {
        if (!applied.accepted()) {
            return;
        }
        switch (record) {
            case LeaseClaimed claimed -> seenAtMillis = clock.nowMillis();
            case LeaseRenewed renewed -> seenAtMillis = clock.nowMillis();
            case LeaseReleased released -> seenAtMillis = clock.nowMillis();
            default -> {
                // Other records say nothing about the lease.
            }
        }
    }
}
