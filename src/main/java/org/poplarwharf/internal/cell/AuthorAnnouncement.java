package org.poplarwharf.internal.cell;

import java.util.List;
import java.util.Optional;
import org.poplarwharf.internal.log.RecordStream;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellRecord.Author;
import org.poplarwharf.internal.state.CellRecord.AuthorPlaced;
import org.poplarwharf.internal.state.CellRecord.StoodDown;
import org.poplarwharf.internal.state.CellStateView;
import org.poplarwharf.internal.state.CellStateView.Placement;

/**
 * Tells the readers of a cell's stream what they need to know of this process to settle its orders, or its forerunners'.
 *
 * <p>Invariants: a holder names its VM, and again once that VM is listed; a process whose node has open orders of an
 * earlier incarnation writes a record, which shows that the earlier one is gone. Belongs to the control thread.
 */
final class AuthorAnnouncement {
    private final Author self;
    private final String vmId;
    private final RecordStream<CellRecord> stream;
    private final CellStateView state;
    private final AuthorRegistry authors;
    private final long commitMillis;
    private boolean telling;

    AuthorAnnouncement(
            Author self,
            String vmId,
            RecordStream<CellRecord> stream,
            CellStateView state,
            AuthorRegistry authors,
            long commitMillis) {
        this.self = self;
        this.vmId = vmId;
        this.stream = stream;
        this.state = state;
        this.authors = authors;
        this.commitMillis = commitMillis;
    }

    void tick() {
        if (!stream.isCaughtUp() || telling) {
            return;
        }
        Optional<Placement> known = state.placement(self.nodeId())
                .filter(placement -> placement.author().equals(self));
        boolean holder =
                state.lease().filter(lease -> lease.holder().equals(self)).isPresent();
        if (holder && wantsPlace(known)) {
            tell(new AuthorPlaced(self, vmId, authors.lists(vmId)));
        } else if (known.isEmpty() && earlierRunHasOrders()) {
            tell(new StoodDown(self, state.epoch(), List.of(), List.of()));
        }
    }

    private boolean wantsPlace(Optional<Placement> known) {
        boolean named = known.flatMap(Placement::vmId).isPresent();
        boolean toldListed = known.map(Placement::listed).orElse(false);
        return !named || !toldListed && authors.lists(vmId);
    }

    private void tell(CellRecord record) {
        telling = true;
        stream.commit(record, commitMillis).whenComplete((applied, failure) -> telling = false);
    }

    private boolean earlierRunHasOrders() {
        return state.slots().stream()
                .flatMap(slot -> slot.openOrders().stream())
                .map(CellStateView.OpenOrder::author)
                .anyMatch(author -> author.nodeId().equals(self.nodeId()) && author.incarnation() < self.incarnation());
    }
}
