package org.poplarwharf.internal.lease;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.poplarwharf.support.FakeKeyedLog;

class HolderLeaseTest {
    private static final long TERM_MILLIS = 6_500;
    private static final long ORDER_GAP_MILLIS = 3_300;

    private final FakeKeyedLog log = new FakeKeyedLog();
    private final LeaseTestNode first = new LeaseTestNode("n1", log);
    private final LeaseTestNode second = new LeaseTestNode("n2", log);

    @Test
    void first_node_to_claim_a_free_lease_holds_it_and_may_issue_orders() {
        first.start();
        second.start();
        advanceFirstAndSecond(2_000);

        assertThat(first.lease.mayOrder()).isTrue();
        assertThat(second.lease.isHeld()).isFalse();
        assertThat(second.followedHolder).isEqualTo("n1");
    }

    @Test
    void holder_keeps_its_lease_by_renewing_it() {
        first.start();
        second.start();
        advanceFirstAndSecond(30_000);

        assertThat(first.lease.mayOrder()).isTrue();
        assertThat(first.claimCount).isEqualTo(1);
    }

    @Test
    void after_resignation_another_node_holds_the_lease_at_once_and_may_issue_orders_after_the_gap() {
        first.start();
        second.start();
        advanceFirstAndSecond(2_000);
        first.lease.resign();
        advanceFirstAndSecond(1_000);
        assertThat(second.lease.isHeld()).isTrue();
        assertThat(second.lease.mayOrder()).isFalse();

        advanceFirstAndSecond(ORDER_GAP_MILLIS);

        assertThat(second.lease.mayOrder()).isTrue();
        assertThat(second.lease.fencingNumber()).isGreaterThan(first.lease.fencingNumber());
    }

    @Test
    void orders_of_two_holders_are_separated_by_the_gap_when_the_first_stops_running() {
        first.start();
        second.start();
        advanceFirstAndSecond(5_000);
        first.frozen = true;
        long lastOrderMillis = first.now();
        while (!second.lease.mayOrder()) {
            second.advance(50);
            first.advanceClocks(50);
            if (first.lease.mayOrder()) {
                lastOrderMillis = first.now();
            }
            assertThat(second.now()).isLessThan(60_000 + LeaseTestNode.START_MILLIS);
        }

        assertThat(second.now() - lastOrderMillis).isGreaterThanOrEqualTo(ORDER_GAP_MILLIS - 100);
    }

    @Test
    void after_resignation_the_next_holder_is_the_only_one_at_once() {
        first.start();
        second.start();
        advanceFirstAndSecond(2_000);
        first.lease.resign();
        advanceFirstAndSecond(1_000);

        assertThat(second.lease.isSoleHolder()).isTrue();
        assertThat(first.lease.isSoleHolder()).isFalse();
    }

    @Test
    void two_nodes_are_never_sure_at_once_of_being_the_only_holder_when_the_first_stops_running() {
        first.start();
        second.start();
        advanceFirstAndSecond(5_000);
        first.frozen = true;
        while (!second.lease.isSoleHolder()) {
            second.advance(50);
            first.advanceClocks(50);
            assertThat(first.lease.isSoleHolder() && second.lease.isSoleHolder())
                    .isFalse();
            assertThat(second.now()).isLessThan(60_000 + LeaseTestNode.START_MILLIS);
        }
        assertThat(first.lease.isSoleHolder()).isFalse();
    }

    @Test
    void suspended_holder_whose_monotonic_clock_stood_still_may_not_issue_orders() {
        first.start();
        advanceFirstAndSecond(1_000);
        first.suspend(TERM_MILLIS + 1_000);

        assertThat(first.lease.mayOrder()).isFalse();
    }

    @Test
    void holder_that_follows_one_still_waiting_for_the_gap_also_waits_for_the_holder_before_that() {
        LeaseTestNode third = new LeaseTestNode("n3", log);
        first.start();
        second.start();
        third.start();
        advanceFirstAndSecond(5_000);
        third.advance(5_000);
        first.frozen = true;
        while (!second.lease.isHeld() && !third.lease.isHeld()) {
            second.advance(50);
            third.advance(50);
        }
        LeaseTestNode secondHolder = second.lease.isHeld() ? second : third;
        LeaseTestNode thirdHolder = secondHolder == second ? third : second;
        long ordersAllowedFromMillis = secondHolder.now() + ORDER_GAP_MILLIS;
        secondHolder.frozen = true;
        thirdHolder.advance(600);
        thirdHolder.lease.holderEnded(secondHolder.incarnation());
        while (!thirdHolder.lease.mayOrder()) {
            thirdHolder.advance(50);
        }

        assertThat(thirdHolder.now()).isGreaterThanOrEqualTo(ordersAllowedFromMillis - 200);
    }

    /** Guards against a wait for the term of a process that this node has replaced. */
    @Test
    void restarted_node_does_not_wait_for_the_term_of_its_earlier_process() {
        first.start();
        advanceFirstAndSecond(5_000);
        LeaseTestNode restarted = new LeaseTestNode("n1", 2, "address of n1", log);
        restarted.start();
        restarted.advance(600);

        assertThat(restarted.lease.isHeld()).isTrue();
        assertThat(restarted.lease.mayOrder()).isFalse();
        restarted.advance(ORDER_GAP_MILLIS);
        assertThat(restarted.lease.mayOrder()).isTrue();
    }

    /** Guards against a claim beside a holder that has only the id or the address of this node. */
    @Test
    void node_with_the_id_or_the_address_of_a_running_holder_waits_for_its_term() {
        first.start();
        advanceFirstAndSecond(5_000);
        LeaseTestNode sameId = new LeaseTestNode("n1", 2, "another address", log);
        LeaseTestNode sameAddress = new LeaseTestNode("n3", 1, "address of n1", log);
        sameId.start();
        sameAddress.start();
        for (int millis = 0; millis < TERM_MILLIS - 1_000; millis += 500) {
            sameId.advance(500);
            sameAddress.advance(500);
        }

        assertThat(sameId.lease.isHeld()).isFalse();
        assertThat(sameAddress.lease.isHeld()).isFalse();
    }

    @Test
    void holder_may_issue_orders_again_after_a_log_outage_without_a_new_gap() {
        first.start();
        second.start();
        advanceFirstAndSecond(5_000);
        log.unavailable = true;
        advanceFirstAndSecond(10_000);
        assertThat(first.lease.mayOrder()).isFalse();
        assertThat(first.expired).isTrue();
        log.unavailable = false;
        first.advance(1_100);

        assertThat(first.lease.mayOrder()).isTrue();
    }

    @Test
    void claim_that_was_not_appended_does_not_start_a_new_term() {
        first.start();
        advanceFirstAndSecond(1_000);
        log.rejectAppends = true;
        advanceFirstAndSecond(TERM_MILLIS + 2_000);

        // The newest record on the log is still this node's last renewal, but its term is over.
        assertThat(first.lease.mayOrder()).isFalse();
        assertThat(first.claimCount).isEqualTo(1);
    }

    /** Guards against a term that outlasts the one that other nodes count, after a repeated claim was refused. */
    @Test
    void term_counts_from_the_first_send_of_a_claim_even_if_a_repeated_send_was_refused() {
        log.delayNextAppend = true;
        first.start();
        long firstSentMillis = first.now();
        log.rejectAppends = true;
        first.advance(500);
        log.rejectAppends = false;
        first.advance(500);
        first.advance(10);
        assertThat(first.lease.isHeld()).isTrue();

        log.unavailable = true;
        while (first.now() < firstSentMillis + TERM_MILLIS) {
            first.advance(10);
        }

        assertThat(first.lease.isHeld()).isFalse();
    }

    @Test
    void claim_whose_response_was_lost_takes_effect_once_its_record_is_read() {
        log.loseNextResponse = true;
        first.start();
        advanceFirstAndSecond(2_000);

        assertThat(first.lease.mayOrder()).isTrue();
    }

    @Test
    void holder_keeps_its_lease_and_its_fencing_number_after_a_restore_that_lost_its_records() {
        first.start();
        second.start();
        advanceFirstAndSecond(5_000);
        long fencingNumberBefore = first.lease.fencingNumber();
        log.restore(0);
        advanceFirstAndSecond(10_000);

        assertThat(first.lease.mayOrder()).isTrue();
        assertThat(first.lease.fencingNumber()).isEqualTo(fencingNumberBefore);
        assertThat(second.claimCount).isZero();

        first.lease.resign();
        advanceFirstAndSecond(1_000 + ORDER_GAP_MILLIS);

        assertThat(second.lease.mayOrder()).isTrue();
        assertThat(second.lease.fencingNumber()).isGreaterThan(fencingNumberBefore);
    }

    @Test
    void holder_whose_term_was_over_takes_a_higher_number_if_the_log_may_have_lost_another_holder() {
        first.start();
        second.start();
        advanceFirstAndSecond(5_000);
        first.frozen = true;
        advanceFirstAndSecond(30_000);
        assertThat(second.lease.mayOrder()).isTrue();
        long fencingNumberBefore = second.lease.fencingNumber();
        second.frozen = true;
        log.restore(1);
        first.frozen = false;
        advanceFirstAndSecond(TERM_MILLIS + ORDER_GAP_MILLIS + 1_500);

        assertThat(first.lease.mayOrder()).isTrue();
        assertThat(first.lease.fencingNumber()).isGreaterThan(fencingNumberBefore);
    }

    @Test
    void node_that_claims_after_a_restore_waits_for_a_holder_whose_record_was_lost() {
        first.start();
        advanceFirstAndSecond(5_000);
        log.restore(0);
        first.frozen = true;
        second.start();
        long lastOrderMillis = first.now();
        while (!second.lease.mayOrder()) {
            second.advance(50);
            first.advanceClocks(50);
            if (first.lease.mayOrder()) {
                lastOrderMillis = first.now();
            }
            assertThat(second.now()).isLessThan(60_000 + LeaseTestNode.START_MILLIS);
        }

        assertThat(second.now() - lastOrderMillis).isGreaterThanOrEqualTo(ORDER_GAP_MILLIS - 100);
        assertThat(second.lease.fencingNumber()).isGreaterThan(first.lease.fencingNumber());
    }

    private void advanceFirstAndSecond(long millis) {
        for (long elapsed = 0; elapsed < millis; elapsed += 50) {
            first.advance(50);
            second.advance(50);
        }
    }
}
