package org.poplarwharf.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RetryBudgetShareTest {
    private static final String SERVICE = "s";
    private static final double RATIO = 0.2;
    private static final int MIN_RETRY_COUNT = 58;
    private static final long WINDOW_MILLIS = 10_000;

    @Test
    void retries_of_all_nodes_stay_within_the_ratio_and_the_minimum_count_in_a_window() {
        int nodes = 9;
        RetryBudgetShare[] budgets = new RetryBudgetShare[nodes];
        int retries = 0;
        int requests = 0;
        for (int i = 0; i < nodes; i++) {
            budgets[i] = new RetryBudgetShare(RATIO, MIN_RETRY_COUNT, WINDOW_MILLIS, nodes);
            for (int k = 0; k < 40; k++) {
                budgets[i].recordRequest(SERVICE, k * 100L);
                requests++;
            }
            while (budgets[i].tryAcquire(SERVICE, 4_000)) {
                retries++;
            }
        }

        assertThat(retries).isPositive().isLessThanOrEqualTo((int) (RATIO * requests) + MIN_RETRY_COUNT);
    }

    @Test
    void retries_are_available_again_after_the_window() {
        RetryBudgetShare budget = new RetryBudgetShare(RATIO, 2, WINDOW_MILLIS, 1);
        assertThat(budget.tryAcquire(SERVICE, 0)).isTrue();
        assertThat(budget.tryAcquire(SERVICE, 1)).isFalse();

        assertThat(budget.tryAcquire(SERVICE, WINDOW_MILLIS + 1)).isTrue();
    }

    @Test
    void each_service_has_its_own_budget() {
        RetryBudgetShare budget = new RetryBudgetShare(RATIO, 2, WINDOW_MILLIS, 1);
        budget.tryAcquire(SERVICE, 0);

        assertThat(budget.tryAcquire("other", 0)).isTrue();
    }
}
