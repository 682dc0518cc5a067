package org.poplarwharf.internal.lease;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.poplarwharf.support.FakeKeyedLog;

/** A holder that reaches no target hands its lease to a node that does. */
class HolderLeaseHandOverTest {
    private static final long ORDER_GAP_MILLIS = 3_300;
    private static final long SECONDS_WITHOUT_CLAIM_MILLIS = 3_000;

    private final FakeKeyedLog log = new FakeKeyedLog();
    private final LeaseTestNode first = new LeaseTestNode("n1", log);
    private final LeaseTestNode second = new LeaseTestNode("n2", log);

    @BeforeEach
    void makeFirstTheHolder() {
        first.start();
        second.start();
        advance(5_000);
        assertThat(first.lease.isHeld()).isTrue();
        first.reachesTargets = false;
    }

    private void advance(long millis) {
        for (long elapsed = 0; elapsed < millis; elapsed += 50) {
            first.advance(50);
            second.advance(50);
            assertThat(first.lease.isHeld() && second.lease.isHeld()).isFalse();
        }
    }

    @Test
    void another_node_holds_the_lease_at_once_and_may_issue_orders_after_the_gap() {
        first.lease.handOver();
        assertThat(first.lease.mayOrder()).isFalse();
        advance(1_000);
        assertThat(second.lease.isHeld()).isTrue();
        assertThat(second.lease.mayOrder()).isFalse();

        advance(ORDER_GAP_MILLIS);
        assertThat(second.lease.mayOrder()).isTrue();
        assertThat(second.lease.fencingNumber()).isGreaterThan(first.lease.fencingNumber());
        assertThat(first.followedHolder).isEqualTo("n2");
    }

    @Test
    void node_that_handed_the_lease_over_may_hold_it_again() {
        first.lease.handOver();
        advance(5_000);
        first.reachesTargets = true;
        second.lease.handOver();
        second.reachesTargets = false;
        advance(1_000 + ORDER_GAP_MILLIS);

        assertThat(first.lease.mayOrder()).isTrue();
        assertThat(first.lease.fencingNumber()).isGreaterThan(second.lease.fencingNumber());
    }

    @Test
    void free_lease_is_left_to_nodes_that_reach_targets() {
        second.frozen = true;
        first.lease.handOver();
        advance(SECONDS_WITHOUT_CLAIM_MILLIS);
        assertThat(first.lease.isHeld()).isFalse();

        second.frozen = false;
        advance(1_000);
        assertThat(second.lease.isHeld()).isTrue();
    }

    @Test
    void node_that_reaches_no_target_claims_a_lease_that_no_other_node_takes() {
        second.frozen = true;
        first.lease.handOver();
        advance(6_000);

        assertThat(first.lease.isHeld()).isTrue();
    }

    /** Guards against a lease that stays taken because the record of its end got lost. */
    @Test
    void lease_is_given_up_again_if_the_log_did_not_append_that() {
        log.rejectAppends = true;
        first.lease.handOver();
        log.rejectAppends = false;
        advance(2_000);

        assertThat(second.lease.isHeld()).isTrue();
    }
}
