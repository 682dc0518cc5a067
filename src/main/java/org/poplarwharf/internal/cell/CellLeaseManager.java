package org.poplarwharf.internal.cell;

import io.activej.promise.Promise;
import java.util.Collection;
import java.util.Optional;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.kernel.NodeSettings;
import org.poplarwharf.internal.log.RecordStream;
import org.poplarwharf.internal.log.RecordStream.ApplyResult;
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
 * <p>Invariant: a holder measures its lease from before it sent the claim or renewal that was read back as accepted.
 * A challenger measures from after it read the last renewal and adds the clock drift bound. Only the fold decides who
 * holds the lease; the clock merely prevents claims that the fold would reject. Confined to the control thread.
 */
final class CellLeaseManager {
    /** Longer than a read of an idle stream waits; a longer silence of the log is an outage. */
    private static final long LOG_OUTAGE_MILLIS = 10_000;

    private final String cell;
    private final Author self;
    private final NodeSettings settings;
    private final MonotonicClock clock;
    private final RecordStream<CellRecord> stream;
    private final CellStateView state;

    private long validUntilMillis;
    private long validEpoch = -1;
    private long lastSentMillis;
    private long leaseSeenAtMillis;
    private boolean commitInFlight;
    private boolean draining;

    CellLeaseManager(
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
        this.leaseSeenAtMillis = clock.nowMillis();
        stream.addListener(this::onApplied);
    }

    /** Returns whether this node may currently append records under the lease and send orders. */
    boolean isHeld() {
        return !draining && isOwn() && validEpoch == state.epoch() && clock.nowMillis() < validUntilMillis;
    }

    /** Returns whether the last claim read is from this node, even if the lease has expired. */
    boolean isLastHolder() {
        return isOwn();
    }

    /** Returns whether a claim of this node is in flight. */
    boolean isClaiming() {
        return commitInFlight && !isOwn();
    }

    long epoch() {
        return state.epoch();
    }

    /**
     * Claims or renews the lease when due. Called at short intervals with the ids of the nodes that are known to be
     * alive.
     */
    void tick(Collection<String> nodeIds) {
        restartWaitAfterOutage();
        if (commitInFlight || draining || !stream.isCaughtUp()) {
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

    /**
     * Releases the lease. Completes when the release was read back, or when the log did not accept it within a lease
     * duration.
     */
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

    /** Restarts the waiting time after a log outage, so that the holder can renew before another node claims. */
    private void restartWaitAfterOutage() {
        if (stream.millisSinceLastResponse() > LOG_OUTAGE_MILLIS) {
            leaseSeenAtMillis = clock.nowMillis();
        }
    }

    private void restartWaitUnlessOwn() {
        if (!isOwn()) {
            leaseSeenAtMillis = clock.nowMillis();
        }
    }

    private void renewWhenDue() {
        long nowMillis = clock.nowMillis();
        boolean unconfirmed = validEpoch != state.epoch();
        if (!unconfirmed && nowMillis - lastSentMillis < settings.leaseRenewMillis()) {
            return;
        }
        commit(new LeaseRenewed(state.epoch()), state.epoch());
    }

    private boolean mayClaim(Collection<String> nodeIds) {
        long staggerMillis = RendezvousRank.rankOf(cell, self.nodeId(), nodeIds) * settings.maxClockDriftMillis();
        long waitMillis = state.lease().map(this::waitMillis).orElse(settings.maxClockDriftMillis());
        return clock.nowMillis() - leaseSeenAtMillis >= waitMillis + staggerMillis;
    }

    private long waitMillis(Lease lease) {
        boolean ownEarlierIncarnation =
                lease.holder().nodeId().equals(self.nodeId()) && lease.holder().incarnation() < self.incarnation();
        if (lease.released() || ownEarlierIncarnation) {
            return 0;
        }
        return lease.durationMillis() + settings.maxClockDriftMillis();
    }

    private void claim() {
        Optional<Lease> lease = state.lease();
        long previousEpoch = lease.map(Lease::epoch).orElse(-1L);
        long previousRenewalOffset = lease.map(Lease::renewalOffset).orElse(-1L);
        commit(
                new LeaseClaimed(
                        self,
                        settings.advertisedPeerAddress(),
                        previousEpoch,
                        previousRenewalOffset,
                        settings.leaseMillis()),
                -1);
    }

    private void commit(CellRecord record, long epoch) {
        long sentMillis = clock.nowMillis();
        commitInFlight = true;
        lastSentMillis = sentMillis;
        stream.commit(record, settings.leaseMillis()).whenComplete((applied, failure) -> {
            commitInFlight = false;
            if (failure != null) {
                restartWaitUnlessOwn();
                return;
            }
            if (!applied.accepted()) {
                return;
            }
            validEpoch = epoch < 0 ? applied.offset() : epoch;
            validUntilMillis = sentMillis + settings.leaseMillis();
        });
    }

    private void onApplied(CellRecord record, ApplyResult applied) {
        if (!applied.accepted()) {
            return;
        }
        switch (record) {
            case LeaseClaimed claimed -> leaseSeenAtMillis = clock.nowMillis();
            case LeaseRenewed renewed -> leaseSeenAtMillis = clock.nowMillis();
            case LeaseReleased released -> leaseSeenAtMillis = clock.nowMillis();
            default -> {
                // Other records do not affect the lease.
            }
        }
    }
}
