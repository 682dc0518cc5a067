package org.poplarwharf.internal.idle;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.poplarwharf.plugins.ArtifactId;

class ExpectedCostIdlePolicyTest {
    private static final long PRICE_MILLIS = 60_000;
    private static final ArtifactId BURSTY = ArtifactId.model("bursty");
    private static final ArtifactId STEADY = ArtifactId.model("steady");

    private final ExpectedCostIdlePolicy policy = new ExpectedCostIdlePolicy(PRICE_MILLIS);

    @Test
    void an_unknown_artifact_is_kept_as_long_as_a_cold_start_costs() {
        assertThat(policy.keepAliveMillis(BURSTY, 0)).hasValue(PRICE_MILLIS);
    }

    @Test
    void an_artifact_used_in_short_bursts_is_kept_little_longer_than_the_gaps_within_a_burst() {
        long nowMillis = 0;
        for (int burst = 0; burst < 20; burst++) {
            for (int request = 0; request < 5; request++) {
                policy.onRequest(BURSTY, nowMillis);
                nowMillis += 1_000;
            }
            nowMillis += 3_600_000;
        }

        assertThat(policy.keepAliveMillis(BURSTY, nowMillis).getAsLong()).isBetween(1_000L, 2_000L);
    }

    @Test
    void an_artifact_used_steadily_is_kept_beyond_its_usual_gap_although_that_is_longer_than_the_price_of_a_burst() {
        long nowMillis = 0;
        for (int request = 0; request < 50; request++) {
            policy.onRequest(STEADY, nowMillis);
            nowMillis += 45_000;
        }

        assertThat(policy.keepAliveMillis(STEADY, nowMillis).getAsLong()).isBetween(45_000L, 60_000L);
    }

    @Test
    void an_artifact_whose_gaps_are_always_long_is_given_up_at_once() {
        long nowMillis = 0;
        for (int request = 0; request < 50; request++) {
            policy.onRequest(BURSTY, nowMillis);
            nowMillis += 7_200_000;
        }

        assertThat(policy.keepAliveMillis(BURSTY, nowMillis)).hasValue(0);
    }

    @Test
    void what_is_soon_asked_for_again_is_worth_more_than_what_is_not() {
        long nowMillis = 0;
        for (int request = 0; request < 40; request++) {
            policy.onRequest(STEADY, nowMillis);
            if (request % 20 == 0) {
                policy.onRequest(BURSTY, nowMillis);
            }
            nowMillis += 10_000;
        }

        double steady = policy.retentionValue(STEADY, nowMillis, 10_000, 1L << 30, nowMillis + 1_000);
        double bursty = policy.retentionValue(BURSTY, nowMillis, 10_000, 1L << 30, nowMillis + 1_000);
        assertThat(steady).isGreaterThan(bursty);
    }
}
