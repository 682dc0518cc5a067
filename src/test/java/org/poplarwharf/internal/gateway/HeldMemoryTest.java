package org.poplarwharf.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Shares of many connections in a budget of memory. */
class HeldMemoryTest {
    private static final long LARGE_BUDGET_BYTES = 1_000_000;

    private final HeldMemory memory = new HeldMemory(LARGE_BUDGET_BYTES);
    private final List<String> evicted = new ArrayList<>();

    private HeldMemory.Share open(String name, boolean evictable) {
        return memory.open(new HeldMemory.Owner() {
            @Override
            public void restate() {}

            @Override
            public boolean isEvictable() {
                return evictable;
            }

            @Override
            public void evict() {
                evicted.add(name);
            }
        });
    }

    @Test
    void share_that_holds_most_for_longest_is_evicted_for_a_lighter_one() {
        HeldMemory.Share recent = open("recent", true);
        HeldMemory.Share longest = open("longest", true);
        assertThat(longest.tryHold(500_000, 0)).isTrue();
        assertThat(recent.tryHold(500_000, 900)).isTrue();

        assertThat(open("new", true).tryHold(100_000, 1_000)).isTrue();

        assertThat(evicted).containsExactly("longest");
        assertThat(memory.heldBytes()).isEqualTo(600_000);
    }

    @Test
    void share_that_is_the_heaviest_is_refused_and_no_other_one_evicted() {
        HeldMemory.Share heavy = open("heavy", true);
        assertThat(open("light", true).tryHold(300_000, 0)).isTrue();
        assertThat(heavy.tryHold(700_000, 0)).isTrue();

        assertThat(heavy.tryHold(1, 1_000)).isFalse();

        assertThat(evicted).isEmpty();
    }

    @Test
    void small_shares_find_room_while_large_ones_that_may_not_be_evicted_hold_their_budget() {
        assertThat(open("under way", false).tryHold(LARGE_BUDGET_BYTES, 0)).isTrue();

        assertThat(open("large", true).tryHold(HeldMemory.SMALL_SHARE_BYTES + 1, 1_000))
                .isFalse();
        assertThat(open("small", true).tryHold(HeldMemory.SMALL_SHARE_BYTES, 1_000))
                .isTrue();
        assertThat(evicted).isEmpty();
    }

    @Test
    void responses_that_nobody_reads_are_held_until_the_budget_is_used_up() {
        HeldMemory.Share unread = open("unread", true);
        unread.hold(2 * LARGE_BUDGET_BYTES, 0);
        assertThat(evicted).isEmpty();

        open("other", true).hold(1, 10);

        assertThat(evicted).containsExactly("unread");
        unread.release(2 * LARGE_BUDGET_BYTES);
        assertThat(memory.heldBytes()).isEqualTo(1);
    }
}
