package org.poplarwharf.internal.cell;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.cell.PlanInput.ArtifactDemand;
import org.poplarwharf.internal.idle.FixedIdlePolicy;
import org.poplarwharf.plugins.ArtifactId;

/** Checks the demand that is reported to the planner. */
class UsageTrackerTest {
    private static final ArtifactId MODEL = ArtifactId.model("m");

    @Test
    void demand_of_a_rejected_request_ends_when_the_request_may_be_retried() {
        UsageTracker usage = new UsageTracker(new FixedIdlePolicy(1_000), new LoadTimeEstimator());
        usage.demand(MODEL, new ArtifactDemand(1, 0, 5_000));
        assertThat(usage.demand(4_999)).containsKey(MODEL);
        assertThat(usage.demand(5_000)).isEmpty();
    }
}
