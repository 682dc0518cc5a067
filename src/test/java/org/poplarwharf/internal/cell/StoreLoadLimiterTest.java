package org.poplarwharf.internal.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.cell.PlanInput.SlotKey;
import org.poplarwharf.plugins.ArtifactId;

class StoreLoadLimiterTest {
    private static final int MAX_CONCURRENT_COUNT = 2;
    private static final long LATER_MILLIS = 60_000;

    private final StoreLoadLimiter limiter = new StoreLoadLimiter(1, MAX_CONCURRENT_COUNT, 0);

    private static SlotKey load(String target) {
        return new SlotKey(target, ArtifactId.model("m1"));
    }

    /** Guards against more concurrent loads than the store serves, started before the log shows the first of them. */
    @Test
    void loads_started_in_one_pass_count_before_the_log_shows_them() {
        limiter.setLoads("c1", Set.of(load("t1")));

        assertThat(limiter.tryStart("c1", load("t2"), LATER_MILLIS)).isTrue();
        assertThat(limiter.tryStart("c1", load("t3"), LATER_MILLIS)).isFalse();
    }

    /** Guards against a limit that each cell of a node uses up for itself. */
    @Test
    void loads_of_all_cells_count_together() {
        limiter.setLoads("c1", Set.of(load("t1"), load("t2")));

        assertThat(limiter.tryStart("c2", load("t3"), LATER_MILLIS)).isFalse();
        limiter.setLoads("c1", Set.of());
        assertThat(limiter.tryStart("c2", load("t3"), LATER_MILLIS)).isTrue();
    }

    @Test
    void starts_keep_to_the_rate_after_a_burst() {
        assertThat(limiter.tryStart("c1", load("t1"), 0)).isTrue();
        assertThat(limiter.tryStart("c1", load("t2"), 0)).isTrue();
        limiter.setLoads("c1", Set.of());

        assertThat(limiter.tryStart("c1", load("t3"), 500)).isFalse();
        assertThat(limiter.tryStart("c1", load("t3"), 1_000)).isTrue();
    }
}
