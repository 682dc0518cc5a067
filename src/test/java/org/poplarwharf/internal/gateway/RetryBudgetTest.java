package org.poplarwharf.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RetryBudgetTest {
    private static final String SERVICE = "s";
    private static final double RATIO = 0.2;
    private static final int SLACK = 58;
    private static final long WINDOW_MILLIS = 10_000;

    @Test
    void all_nodes_together_stay_within_the_ratio_and_the_slack_in_any_window() {
        int nodes = 9;
        RetryBudget[] budgets = new RetryBudget[nodes];
        int seconds = 0;
        int requests = 0;
        for (int i = 0; i < nodes; i++) {
            budgets[i] = new RetryBudget(RATIO, SLACK, WINDOW_MILLIS, nodes);
            for (int k = 0; k < 40; k++) {
                budgets[i].requested(SERVICE, k * 100L);
                requests++;
            }
            while (budgets[i].take(SERVICE, 4_000)) {
                seconds++;
            }
        }

        assertThat(seconds).isPositive().isLessThanOrEqualTo((int) (RATIO * requests) + SLACK);
    }

    @Test
    void what_was_taken_is_free_again_after_the_window() {
        RetryBudget budget = new RetryBudget(RATIO, 2, WINDOW_MILLIS, 1);
        assertThat(budget.take(SERVICE, 0)).isTrue();
        assertThat(budget.take(SERVICE, 1)).isFalse();

        assertThat(budget.take(SERVICE, WINDOW_MILLIS + 1)).isTrue();
    }

    @Test
    void services_have_budgets_of_their_own() {
        RetryBudget budget = new RetryBudget(RATIO, 2, WINDOW_MILLIS, 1);
        budget.take(SERVICE, 0);

        assertThat(budget.take("other", 0)).isTrue();
    }
}
