package org.poplarwharf.internal.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

class TargetLimitsTest {
    private static final String TARGET = "t";

    private final AtomicBoolean issuing = new AtomicBoolean(true);
    private final List<String> changes = new ArrayList<>();
    private final TargetLimits limits =
            new TargetLimits(issuing::get, (target, requestsPerSecond) -> changes.add(target + requestsPerSecond));

    private int acquireFor(long fromMillis, long toMillis) {
        int acquired = 0;
        for (long nowMillis = fromMillis; nowMillis < toMillis; nowMillis += 10) {
            acquired += limits.tryAcquire(TARGET, nowMillis) ? 1 : 0;
        }
        return acquired;
    }

    @Test
    void target_without_a_limit_needs_no_permit() {
        assertThat(acquireFor(0, 1_000)).isEqualTo(100);
    }

    @Test
    void permits_are_issued_at_the_rate_of_the_limit_from_an_empty_start() {
        limits.recordNamed(TARGET, 1.5, 0);

        assertThat(acquireFor(0, 500)).isZero();
        assertThat(acquireFor(500, 20_500)).isBetween(29, 32);
    }

    @Test
    void node_that_may_not_issue_has_no_permit() {
        issuing.set(false);
        limits.recordNamed(TARGET, 100, 0);

        assertThat(acquireFor(0, 10_000)).isZero();
        assertThat(limits.waitMillis(TARGET, 10_000)).isPositive();
    }

    @Test
    void new_lease_holder_starts_without_saved_permits() {
        limits.recordNamed(TARGET, 1, 0);
        limits.restartPacing(60_000);

        assertThat(acquireFor(60_000, 61_000)).isZero();
    }

    @Test
    void response_to_a_request_that_was_permitted_before_the_limit_was_named_does_not_end_it() {
        limits.recordNamed(TARGET, 1, 100);
        limits.recordResponse(TARGET, 50);

        assertThat(limits.isLimited(TARGET)).isTrue();
    }

    @Test
    void response_without_a_limit_to_a_request_that_was_permitted_later_ends_it() {
        limits.recordNamed(TARGET, 1, 100);
        limits.recordResponse(TARGET, 150);

        assertThat(limits.isLimited(TARGET)).isFalse();
        assertThat(changes).containsExactly("tOptionalDouble[1.0]", "tOptionalDouble.empty");
    }

    @Test
    void limit_of_zero_still_lets_a_request_pass_now_and_then_that_can_end_it() {
        limits.recordNamed(TARGET, 0, 0);

        assertThat(acquireFor(0, 60_000)).isBetween(4, 6);
    }

    @Test
    void limits_of_the_lease_holder_replace_others_but_not_one_that_has_not_reached_it_yet() {
        limits.recordNamed("old", 1, 0);
        limits.recordNamed("new", 1, 5_000);
        limits.replaceAll(Map.of("other", 2.0), 5_100);

        assertThat(limits.requestsPerSecondByTarget()).containsOnlyKeys("new", "other");
    }
}
