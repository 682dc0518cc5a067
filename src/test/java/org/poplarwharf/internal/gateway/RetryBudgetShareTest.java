package org.poplarwharf.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RetryBudgetShareTest {
    private static final int NODE_COUNT = 8;
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
            budgets[i] = budget(MIN_RETRY_COUNT, nodes);
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
        RetryBudgetShare budget = budget(2, 1);
        assertThat(budget.tryAcquire(SERVICE, 0)).isTrue();
        assertThat(budget.tryAcquire(SERVICE, 1)).isFalse();

        assertThat(budget.tryAcquire(SERVICE, WINDOW_MILLIS + 1)).isTrue();
    }

    @Test
    void each_service_has_its_own_budget() {
        RetryBudgetShare budget = budget(2, 1);
        budget.tryAcquire(SERVICE, 0);

        assertThat(budget.tryAcquire("other", 0)).isTrue();
    }

    @Test
    void shares_stay_within_the_limit_while_the_nodes_reconnect_to_a_new_holder() {
        int retries = 0;
        for (int connectedNodes = 2; connectedNodes <= NODE_COUNT + 1; connectedNodes++) {
            RetryBudgetShare budget = budget(MIN_RETRY_COUNT, NODE_COUNT);
            budget.recordNodeCount(connectedNodes, 0);
            retries += exhaust(budget, 0);
        }

        assertThat(retries).isPositive().isLessThanOrEqualTo(MIN_RETRY_COUNT);
    }

    @Test
    void shares_stay_within_the_limit_when_all_nodes_restart_within_the_window() {
        int retries = 0;
        for (int i = 0; i < NODE_COUNT; i++) {
            retries += exhaust(budget(MIN_RETRY_COUNT, NODE_COUNT), 0);
            RetryBudgetShare restarted = new RetryBudgetShare(RATIO, MIN_RETRY_COUNT, WINDOW_MILLIS, 500);
            restarted.recordNodeCount(2 + i, 600);
            retries += exhaust(restarted, 1_000);
            restarted.recordNodeCount(NODE_COUNT, 3_000);
            retries += exhaust(restarted, 3_000);
        }

        assertThat(retries).isPositive().isLessThanOrEqualTo(MIN_RETRY_COUNT);
    }

    @Test
    void shares_stay_within_the_limit_while_some_nodes_are_cut_off_from_the_holder() {
        RetryBudgetShare cutOff = budget(MIN_RETRY_COUNT, NODE_COUNT);
        RetryBudgetShare connected = budget(MIN_RETRY_COUNT, NODE_COUNT);
        for (long millis = 0; millis < WINDOW_MILLIS; millis += 500) {
            connected.recordNodeCount(NODE_COUNT / 2, millis);
        }

        int retries = NODE_COUNT / 2 * (exhaust(cutOff, WINDOW_MILLIS) + exhaust(connected, WINDOW_MILLIS));
        assertThat(retries).isPositive().isLessThanOrEqualTo(MIN_RETRY_COUNT);
    }

    @Test
    void share_grows_after_nodes_were_removed_for_good() {
        RetryBudgetShare budget = budget(MIN_RETRY_COUNT, NODE_COUNT);
        int before = exhaust(budget, 0);
        for (long millis = 0; millis <= 4 * WINDOW_MILLIS; millis += 500) {
            budget.recordNodeCount(NODE_COUNT / 2, millis);
        }

        assertThat(exhaust(budget, 4 * WINDOW_MILLIS)).isGreaterThan(before);
    }

    @Test
    void only_the_ratio_counts_until_the_number_of_nodes_is_known() {
        RetryBudgetShare budget = new RetryBudgetShare(RATIO, MIN_RETRY_COUNT, WINDOW_MILLIS, -WINDOW_MILLIS);
        assertThat(exhaust(budget, 0)).isZero();
        for (int i = 0; i < 100; i++) {
            budget.recordRequest(SERVICE, 0);
        }

        assertThat(exhaust(budget, 0)).isPositive().isLessThanOrEqualTo(20);
    }

    /** Returns the share of a node that has run for a window and has been told the number of nodes. */
    private static RetryBudgetShare budget(int minRetryCount, int nodeCount) {
        RetryBudgetShare budget = new RetryBudgetShare(RATIO, minRetryCount, WINDOW_MILLIS, -WINDOW_MILLIS);
        budget.recordNodeCount(nodeCount, -WINDOW_MILLIS);
        budget.recordNodeCount(nodeCount, 0);
        return budget;
    }

    private static int exhaust(RetryBudgetShare budget, long nowMillis) {
        int retries = 0;
        while (budget.tryAcquire(SERVICE, nowMillis)) {
            retries++;
        }
        return retries;
    }
}
