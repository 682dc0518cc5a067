package org.poplarwharf.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.fleet.RequestTraits;

class RunTimesTest {
    private final RunTimes runTimes = new RunTimes(0);

    @Test
    void route_without_a_run_has_no_expected_time() {
        runTimes.record("other", traits(10), 10, 20, 0);

        assertThat(runTimes.expectedMillis("route", traits(10), 0)).isEmpty();
    }

    @Test
    void longest_run_counts_and_grows_with_the_tokens_of_the_request() {
        runTimes.record("route", traits(10), 40, 140, 0);
        runTimes.record("route", traits(100), 60, 160, 0);

        assertThat(runTimes.expectedMillis("route", traits(50), 0)).hasValue(560);
    }

    @Test
    void response_without_stated_tokens_is_expected_to_take_as_long_as_the_longest() {
        runTimes.record("route", traits(0), 20, 30, 0);
        runTimes.record("route", traits(0), 5, 10, 0);

        assertThat(runTimes.expectedMillis("route", traits(0), 0)).hasValue(30);
    }

    @Test
    void run_counts_for_the_whole_window_and_not_after_two() {
        runTimes.record("route", traits(0), 20, 30, RunTimes.WINDOW_MILLIS - 1);

        assertThat(runTimes.expectedMillis("route", traits(0), 2 * RunTimes.WINDOW_MILLIS - 1))
                .hasValue(30);
        assertThat(runTimes.expectedMillis("route", traits(0), 3 * RunTimes.WINDOW_MILLIS))
                .isEmpty();
    }

    private static RequestTraits traits(long maxOutputTokens) {
        return new RequestTraits(
                "r1",
                OptionalLong.empty(),
                Optional.empty(),
                Optional.empty(),
                0,
                maxOutputTokens,
                List.of(),
                OptionalLong.empty(),
                Optional.empty());
    }
}
