package org.poplarwharf.internal.cell;

import java.util.List;
import org.poplarwharf.internal.log.RecordStream;
import org.poplarwharf.internal.log.RecordStream.Applied;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellRecord.Author;
import org.poplarwharf.internal.state.CellRecord.AuthorPlaced;
import org.poplarwharf.internal.state.CellRecord.CellCheckpoint;
import org.poplarwharf.internal.state.CellRecord.StoodDown;
import org.poplarwharf.internal.state.CellStateView;

/**
 * Tells the readers of a cell's stream what they need to know of this process to settle its orders, or its forerunners'.
 *
 * <p>Invariants: a holder names its VM, again after each checkpoint; a process whose node has open orders of an earlier
 * incarnation writes a record once, which shows that the earlier one is gone. Belongs to the control thread.
 */
final class AuthorAnnouncement {
    private final Author self;
    private final String vmId;
    private final RecordStream<CellRecord> stream;
    private final CellStateView state;
    private final long commitMillis;
    private boolean placed;
    private boolean announced;

    AuthorAnnouncement(
            Author self, String vmId, RecordStream<CellRecord> stream, CellStateView state, long commitMillis) {
        this.self = self;
        this.vmId = vmId;
        this.stream = stream;
        this.state = state;
        this.commitMillis = commitMillis;
        stream.onApplied(this::applied);
    }

    void tick() {
        if (!stream.caughtUp()) {
            return;
        }
        boolean holder =
                state.lease().filter(lease -> lease.holder().equals(self)).isPresent();
        if (holder && !placed) {
            placed = true;
            stream.commit(new AuthorPlaced(self, vmId), commitMillis).whenException(failure -> placed = false);
        }
        if (!announced && earlierRunHasOrders()) {
            announced = true;
            stream.commit(new StoodDown(self, state.epoch(), List.of(), List.of()), commitMillis)
                    .whenException(failure -> announced = false);
        }
    }

    private boolean earlierRunHasOrders() {
        return state.slots().stream()
                .flatMap(slot -> slot.openOrders().stream())
                .map(CellStateView.OpenOrder::author)
                .anyMatch(author -> author.nodeId().equals(self.nodeId()) && author.incarnation() < self.incarnation());
    }

    private void applied(CellRecord record, Applied applied) {
        if (record instanceof CellCheckpoint) {
            placed = false;
        }
    }
}
