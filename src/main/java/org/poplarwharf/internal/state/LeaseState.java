package org.poplarwharf.internal.state;

import java.util.Optional;
import org.poplarwharf.internal.state.CellRecord.LeaseClaimed;
import org.poplarwharf.internal.state.CellStateView.Lease;

/**
 * The lease of a cell.
 *
 * <p>Invariant: the epoch is the offset of the latest accepted claim and grows with each one. Belongs to the control
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

    Verdict claim(long offset, LeaseClaimed claim) {
        if (claim.previousEpoch() != epoch()) {
            return Verdict.refused("another claim was accepted first, at epoch " + epoch());
        }
        boolean renewed = lease.map(l -> !l.released() && l.renewalOffset() != claim.previousRenewalOffset())
                .orElse(false);
        if (renewed) {
            return Verdict.refused("the lease of epoch " + epoch() + " has been renewed since");
        }
        lease = Optional.of(
                new Lease(claim.holder(), claim.peerAddress(), offset, offset, claim.durationMillis(), false));
        return Verdict.ACCEPTED;
    }

    Verdict renew(long offset) {
        Lease held = lease.orElseThrow();
        if (held.released()) {
            return Verdict.refused("the lease of epoch " + held.epoch() + " was released");
        }
        lease = Optional.of(
                new Lease(held.holder(), held.peerAddress(), held.epoch(), offset, held.durationMillis(), false));
        return Verdict.ACCEPTED;
    }

    Verdict release() {
        Lease held = lease.orElseThrow();
        if (held.released()) {
            return Verdict.refused("the lease of epoch " + held.epoch() + " was released before");
        }
        lease = Optional.of(new Lease(
                held.holder(), held.peerAddress(), held.epoch(), held.renewalOffset(), held.durationMillis(), true));
        return Verdict.ACCEPTED;
    }
}
