package org.poplarwharf.internal.state;

import java.util.Optional;
import org.poplarwharf.internal.state.CellRecord.LeaseClaimed;
import org.poplarwharf.internal.state.CellStateView.Lease;

/**
 * The lease of a cell.
 *
 * <p>Invariant: the epoch is the offset of the latest accepted claim and grows with each one. Confined to the control
 * thread.
 */
final class LeaseState {
    static final long NO_EPOCH = -1;

    private Optional<Lease> lease = Optional.empty();

    Optional<Lease> current() {
        return lease;
    }

    void restore(Optional<Lease> restored) {
        lease = restored;
    }

    long epoch() {
        return lease.map(Lease::epoch).orElse(NO_EPOCH);
    }

    FoldDecision claim(long offset, LeaseClaimed claim) {
        if (claim.previousEpoch() != epoch()) {
            return FoldDecision.rejected("another claim was accepted first, at epoch " + epoch());
        }
        boolean wasRenewed = lease.map(
                        current -> !current.released() && current.renewalOffset() != claim.previousRenewalOffset())
                .orElse(false);
        if (wasRenewed) {
            return FoldDecision.rejected("the lease of epoch " + epoch() + " has been renewed since");
        }
        lease = Optional.of(
                new Lease(claim.holder(), claim.peerAddress(), offset, offset, claim.durationMillis(), false));
        return FoldDecision.ACCEPTED;
    }

    FoldDecision renew(long offset) {
        Lease held = lease.orElseThrow();
        if (held.released()) {
            return FoldDecision.rejected("the lease of epoch " + held.epoch() + " was released");
        }
        lease = Optional.of(
                new Lease(held.holder(), held.peerAddress(), held.epoch(), offset, held.durationMillis(), false));
        return FoldDecision.ACCEPTED;
    }

    FoldDecision release() {
        Lease held = lease.orElseThrow();
        if (held.released()) {
            return FoldDecision.rejected("the lease of epoch " + held.epoch() + " was released before");
        }
        lease = Optional.of(new Lease(
                held.holder(), held.peerAddress(), held.epoch(), held.renewalOffset(), held.durationMillis(), true));
        return FoldDecision.ACCEPTED;
    }
}
