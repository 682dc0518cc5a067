package org.poplarwharf.internal.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellRecord.Author;
import org.poplarwharf.internal.state.CellState;
import org.poplarwharf.plugins.VmList.Vm;
import org.poplarwharf.plugins.VmList.VmState;

class AuthorRegistryTest {
    private static final Author AUTHOR = new Author("n1", 5);
    private static final List<Vm> OTHER_VMS = List.of(new Vm("vm-2", "n2", "h:1", "z1", VmState.LIVE));

    /** What a reader knows that starts from a checkpoint and never saw the author's VM. */
    private static CellState fromCheckpoint(CellRecord... records) {
        CellState whole = new CellState();
        long offset = 0;
        for (CellRecord record : records) {
            whole.apply(offset++, record);
        }
        CellState reader = new CellState();
        reader.restore(whole.createCheckpoint(offset, new byte[0]));
        return reader;
    }

    private static AuthorRegistry afterLists(CellState state, int lists) {
        AuthorRegistry registry = new AuthorRegistry(state);
        for (int i = 0; i < lists; i++) {
            registry.listed(OTHER_VMS);
        }
        return registry;
    }

    @Test
    void a_reader_from_a_checkpoint_learns_that_an_author_is_gone_with_its_vm() {
        CellState state = fromCheckpoint(new CellRecord.AuthorPlaced(AUTHOR, "vm-1", true));

        assertThat(afterLists(state, AuthorRegistry.ABSENT_LISTS - 1).gone(AUTHOR))
                .isFalse();
        assertThat(afterLists(state, AuthorRegistry.ABSENT_LISTS).gone(AUTHOR)).isTrue();
    }

    @Test
    void a_vm_that_was_never_listed_is_not_gone() {
        CellState state = fromCheckpoint(new CellRecord.AuthorPlaced(AUTHOR, "vm-1", false));

        assertThat(afterLists(state, 2 * AuthorRegistry.ABSENT_LISTS).gone(AUTHOR))
                .isFalse();
    }

    @Test
    void a_reader_from_a_checkpoint_knows_the_later_incarnation_of_a_node() {
        CellState state = fromCheckpoint(
                new CellRecord.AuthorPlaced(AUTHOR, "vm-1", true),
                new CellRecord.StoodDown(new Author("n1", 6), 0, List.of(), List.of()));

        assertThat(afterLists(state, 0).gone(AUTHOR)).isTrue();
        assertThat(afterLists(state, AuthorRegistry.ABSENT_LISTS).gone(new Author("n1", 6)))
                .isFalse();
    }
}
