package org.poplarwharf.internal.lease;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class LeaseKeeperTest {
    private static final long TERM_MILLIS = 6_500;
    private static final long GAP_MILLIS = 3_300;

    private final FakeKeyedLog log = new FakeKeyedLog();
    private final LeaseNode first = new LeaseNode("n1", log);
    private final LeaseNode second = new LeaseNode("n2", log);

    @Test
    void the_first_to_claim_a_free_lease_holds_it_and_may_order() {
        first.start();
        second.start();
        pass(2_000);

        assertThat(first.keeper.mayOrder()).isTrue();
        assertThat(second.keeper.holds()).isFalse();
        assertThat(second.followed).isEqualTo("n1");
    }

    @Test
    void a_holder_keeps_its_lease_by_renewing_it() {
        first.start();
        second.start();
        pass(30_000);

        assertThat(first.keeper.mayOrder()).isTrue();
        assertThat(first.claims).isEqualTo(1);
    }

    @Test
    void after_a_resignation_another_decides_at_once_and_orders_after_the_gap() {
        first.start();
        second.start();
        pass(2_000);
        first.keeper.resign();
        pass(1_000);
        assertThat(second.keeper.holds()).isTrue();
        assertThat(second.keeper.mayOrder()).isFalse();

        pass(GAP_MILLIS);

        assertThat(second.keeper.mayOrder()).isTrue();
        assertThat(second.keeper.fencingNumber()).isGreaterThan(first.keeper.fencingNumber());
    }

    @Test
    void two_holders_never_may_order_within_the_gap_when_one_falls_silent() {
        first.start();
        second.start();
        pass(5_000);
        first.frozen = true;
        long lastOrderMillis = first.now();
        while (!second.keeper.mayOrder()) {
            second.advance(50);
            first.moveClock(50);
            if (first.keeper.mayOrder()) {
                lastOrderMillis = first.now();
            }
            assertThat(second.now()).isLessThan(60_000 + LeaseNode.START_MILLIS);
        }

        assertThat(second.now() - lastOrderMillis).isGreaterThanOrEqualTo(GAP_MILLIS - 100);
    }

    @Test
    void a_suspended_holder_whose_steady_clock_stood_still_may_not_order() {
        first.start();
        pass(1_000);
        first.suspend(TERM_MILLIS + 1_000);

        assertThat(first.keeper.mayOrder()).isFalse();
    }

    @Test
    void a_claimer_that_follows_a_quiet_one_waits_for_the_holder_before_it_too() {
        LeaseNode third = new LeaseNode("n3", log);
        first.start();
        second.start();
        third.start();
        pass(5_000);
        third.advance(5_000);
        first.frozen = true;
        while (!second.keeper.holds() && !third.keeper.holds()) {
            second.advance(50);
            third.advance(50);
        }
        LeaseNode claimer = second.keeper.holds() ? second : third;
        LeaseNode other = claimer == second ? third : second;
        long firstMayOrderMillis = claimer.now() + GAP_MILLIS;
        claimer.frozen = true;
        other.advance(600);
        other.keeper.holderGone(claimer.incarnation());
        while (!other.keeper.mayOrder()) {
            other.advance(50);
        }

        assertThat(other.now()).isGreaterThanOrEqualTo(firstMayOrderMillis - 200);
    }

    @Test
    void a_holder_goes_on_after_an_outage_of_the_log_without_a_new_gap() {
        first.start();
        second.start();
        pass(5_000);
        log.away = true;
        pass(10_000);
        assertThat(first.keeper.mayOrder()).isFalse();
        assertThat(first.expired).isTrue();
        log.away = false;
        first.advance(1_100);

        assertThat(first.keeper.mayOrder()).isTrue();
    }

    @Test
    void a_claim_that_did_not_land_does_not_begin_a_new_term() {
        first.start();
        pass(1_000);
        log.refusesAppends = true;
        pass(TERM_MILLIS + 2_000);

        // The log still shows this node's last renewal as the newest record; that term is over all the same.
        assertThat(first.keeper.mayOrder()).isFalse();
        assertThat(first.claims).isEqualTo(1);
    }

    @Test
    void a_lost_answer_to_a_claim_is_settled_by_reading_on() {
        log.loseNextAnswer = true;
        first.start();
        pass(2_000);

        assertThat(first.keeper.mayOrder()).isTrue();
    }

    private void pass(long millis) {
        for (long passed = 0; passed < millis; passed += 50) {
            first.advance(50);
            second.advance(50);
        }
    }
}
