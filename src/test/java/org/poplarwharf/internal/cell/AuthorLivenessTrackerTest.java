package org.poplarwharf.internal.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellRecord.Author;
import org.poplarwharf.internal.state.CellState;
import org.poplarwharf.plugins.VmList.Vm;
import org.poplarwharf.plugins.VmList.VmState;

/**
 * Checks that a reader that starts from a checkpoint recognises authors of orders whose process has ended, and no
 * others.
 */
class AuthorLivenessTrackerTest {
    private static final Author AUTHOR = new Author("n1", 5);
    private static final List<Vm> OTHER_VMS = List.of(new Vm("vm-2", "n2", "h:1", "z1", VmState.LIVE));

    /** Returns the state of a reader that starts from a checkpoint and has never seen the VM of the author. */
    private static CellState fromCheckpoint(CellRecord... records) {
        CellState source = new CellState();
        long offset = 0;
        for (CellRecord record : records) {
            source.apply(offset++, record);
        }
        CellState reader = new CellState();
        reader.restore(source.createCheckpoint(offset, new byte[0]));
        return reader;
    }

    private static AuthorLivenessTracker afterLists(CellState state, int lists) {
        AuthorLivenessTracker tracker = new AuthorLivenessTracker(state);
        for (int i = 0; i < lists; i++) {
            tracker.onVmList(OTHER_VMS);
        }
        return tracker;
    }

    @Test
    void reader_from_a_checkpoint_detects_that_an_author_is_gone_when_its_vm_is() {
        CellState state = fromCheckpoint(new CellRecord.AuthorPlaced(AUTHOR, "vm-1", true));

        assertThat(afterLists(state, AuthorLivenessTracker.GONE_AFTER_ABSENT_LIST_COUNT - 1)
                        .isGone(AUTHOR))
                .isFalse();
        assertThat(afterLists(state, AuthorLivenessTracker.GONE_AFTER_ABSENT_LIST_COUNT)
                        .isGone(AUTHOR))
                .isTrue();
    }

    @Test
    void author_is_not_gone_if_its_vm_was_never_listed() {
        CellState state = fromCheckpoint(new CellRecord.AuthorPlaced(AUTHOR, "vm-1", false));

        assertThat(afterLists(state, 2 * AuthorLivenessTracker.GONE_AFTER_ABSENT_LIST_COUNT)
                        .isGone(AUTHOR))
                .isFalse();
    }

    @Test
    void reader_from_a_checkpoint_detects_the_later_incarnation_of_a_node() {
        CellState state = fromCheckpoint(
                new CellRecord.AuthorPlaced(AUTHOR, "vm-1", true),
                new CellRecord.AuthorSteppedDown(new Author("n1", 6), 0, List.of(), List.of()));

        assertThat(afterLists(state, 0).isGone(AUTHOR)).isTrue();
        assertThat(afterLists(state, AuthorLivenessTracker.GONE_AFTER_ABSENT_LIST_COUNT)
                        .isGone(new Author("n1", 6)))
                .isFalse();
    }
}
