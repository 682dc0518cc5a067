package org.poplarwharf.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Admission of connections at the limit on their number. */
class ConnectionLimitTest {
    @Test
    void connection_that_has_been_silent_for_longest_is_replaced() {
        ConnectionLimit<String> limit = new ConnectionLimit<>(2, false);
        limit.admit("active");
        limit.admit("silent");
        limit.recordRequest("active");

        assertThat(limit.admit("new")).isEqualTo(new ConnectionLimit.Decision.Admitted<>(Optional.of("silent")));
        limit.recordRequest("new");

        assertThat(limit.admit("refused")).isEqualTo(new ConnectionLimit.Decision.Refused<>());
        assertThat(limit.count()).isEqualTo(2);
    }

    @Test
    void connection_with_the_oldest_request_is_replaced_where_that_is_allowed() {
        ConnectionLimit<String> limit = new ConnectionLimit<>(2, true);
        limit.admit("first");
        limit.admit("second");
        limit.recordRequest("first");
        limit.recordRequest("second");
        limit.recordRequest("first");

        assertThat(limit.admit("new")).isEqualTo(new ConnectionLimit.Decision.Admitted<>(Optional.of("second")));
    }
}
