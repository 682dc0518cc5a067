package org.poplarwharf.internal.idle;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.poplarwharf.plugins.ArtifactId;

class ExpectedCostIdlePolicyTest {
    private static final long COLD_START_COST_MILLIS = 60_000;
    private static final ArtifactId BURSTY = ArtifactId.model("bursty");
    private static final ArtifactId STEADY = ArtifactId.model("steady");

    private final ExpectedCostIdlePolicy policy = new ExpectedCostIdlePolicy(COLD_START_COST_MILLIS);

    @Test
    void the_keep_alive_of_an_unknown_artifact_equals_the_cost_of_a_cold_start() {
        assertThat(policy.keepAliveMillis(BURSTY, 0)).hasValue(COLD_START_COST_MILLIS);
    }

    @Test
    void the_keep_alive_of_an_artifact_used_in_bursts_is_slightly_longer_than_the_gaps_within_a_burst() {
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
    void the_keep_alive_of_a_steadily_used_artifact_covers_its_usual_gap_even_if_the_gap_is_long() {
        long nowMillis = 0;
        for (int request = 0; request < 50; request++) {
            policy.onRequest(STEADY, nowMillis);
            nowMillis += 45_000;
        }

        assertThat(policy.keepAliveMillis(STEADY, nowMillis).getAsLong()).isBetween(45_000L, 60_000L);
    }

    @Test
    void an_artifact_with_only_long_gaps_has_no_keep_alive() {
        long nowMillis = 0;
        for (int request = 0; request < 50; request++) {
            policy.onRequest(BURSTY, nowMillis);
            nowMillis += 7_200_000;
        }

        assertThat(policy.keepAliveMillis(BURSTY, nowMillis)).hasValue(0);
    }

    @Test
    void an_artifact_likely_to_be_requested_soon_has_a_higher_retention_value() {
        long nowMillis = 0;
        for (int request = 0; request < 40; request++) {
            policy.onRequest(STEADY, nowMillis);
            if (request % 20 == 0) {
                policy.onRequest(BURSTY, nowMillis);
            }
            nowMillis += 10_000;
        }

        double steadyValue = policy.retentionValue(STEADY, nowMillis, 10_000, 1L << 30, nowMillis + 1_000);
        double burstyValue = policy.retentionValue(BURSTY, nowMillis, 10_000, 1L << 30, nowMillis + 1_000);
        assertThat(steadyValue).isGreaterThan(burstyValue);
    }
}
