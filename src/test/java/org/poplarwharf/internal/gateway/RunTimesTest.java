package org.poplarwharf.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RunTimesTest {
    private final RunTimes runTimes = new RunTimes(0);

    @Test
    void route_without_a_run_has_no_expected_time() {
        runTimes.record("other", 20, 0);

        assertThat(runTimes.longestMillis("route", 0)).isEmpty();
    }

    @Test
    void longest_run_counts() {
        runTimes.record("route", 30, 0);
        runTimes.record("route", 10, 0);

        assertThat(runTimes.longestMillis("route", 0)).hasValue(30);
    }

    @Test
    void run_counts_for_the_whole_window_and_not_after_two() {
        runTimes.record("route", 30, RunTimes.WINDOW_MILLIS - 1);

        assertThat(runTimes.longestMillis("route", 2 * RunTimes.WINDOW_MILLIS - 1))
                .hasValue(30);
        assertThat(runTimes.longestMillis("route", 3 * RunTimes.WINDOW_MILLIS)).isEmpty();
    }
}
