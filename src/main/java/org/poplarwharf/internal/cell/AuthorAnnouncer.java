package org.poplarwharf.internal.cell;

import java.util.List;
import java.util.Optional;
import org.poplarwharf.internal.log.RecordStream;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellRecord.Author;
import org.poplarwharf.internal.state.CellRecord.AuthorPlaced;
import org.poplarwharf.internal.state.CellRecord.AuthorSteppedDown;
import org.poplarwharf.internal.state.CellStateView;
import org.poplarwharf.internal.state.CellStateView.AuthorLocation;

/**
 * Writes the records from which readers of a cell's stream learn which VM this process runs on and whether an earlier
 * incarnation of this node has ended. Readers need both to settle open orders.
 *
 * <p>Invariants: a lease holder records its VM, and records it again once that VM appears in the VM list. A process
 * whose node has open orders of an earlier incarnation writes a record, which proves that the earlier incarnation has
 * ended. Confined to the control thread.
 */
final class AuthorAnnouncer {
    private final Author self;
    private final String vmId;
    private final RecordStream<CellRecord> stream;
    private final CellStateView state;
    private final AuthorLivenessTracker authors;
    private final long commitMillis;
    private boolean committing;

    AuthorAnnouncer(
            Author self,
            String vmId,
            RecordStream<CellRecord> stream,
            CellStateView state,
            AuthorLivenessTracker authors,
            long commitMillis) {
        this.self = self;
        this.vmId = vmId;
        this.stream = stream;
        this.state = state;
        this.authors = authors;
        this.commitMillis = commitMillis;
    }

    /** Writes the next record that is due, one at a time. Called at short intervals. */
    void tick() {
        if (!stream.isCaughtUp() || committing) {
            return;
        }
        Optional<AuthorLocation> recorded = state.authorLocation(self.nodeId())
                .filter(location -> location.author().equals(self));
        boolean holder =
                state.lease().filter(lease -> lease.holder().equals(self)).isPresent();
        if (holder && mustRecordLocation(recorded)) {
            commit(new AuthorPlaced(self, vmId, authors.isListed(vmId)));
        } else if (recorded.isEmpty() && earlierIncarnationHasOpenOrders()) {
            commit(new AuthorSteppedDown(self, state.epoch(), List.of(), List.of()));
        }
    }

    private boolean mustRecordLocation(Optional<AuthorLocation> recorded) {
        boolean vmRecorded = recorded.flatMap(AuthorLocation::vmId).isPresent();
        boolean recordedAsListed = recorded.map(AuthorLocation::listed).orElse(false);
        return !vmRecorded || !recordedAsListed && authors.isListed(vmId);
    }

    private void commit(CellRecord record) {
        committing = true;
        stream.commit(record, commitMillis).whenComplete((applied, failure) -> committing = false);
    }

    private boolean earlierIncarnationHasOpenOrders() {
        return state.slots().stream()
                .flatMap(slot -> slot.openOrders().stream())
                .map(CellStateView.OpenOrder::author)
                .anyMatch(author -> author.nodeId().equals(self.nodeId()) && author.incarnation() < self.incarnation());
    }
}
