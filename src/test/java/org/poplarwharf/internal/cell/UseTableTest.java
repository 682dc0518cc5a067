package org.poplarwharf.internal.cell;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.cell.PlanInput.Demand;
import org.poplarwharf.internal.idle.FixedIdlePolicy;
import org.poplarwharf.plugins.ArtifactId;

/** What the planner is told of demand and use. */
class UseTableTest {
    private static final ArtifactId MODEL = ArtifactId.model("m");

    @Test
    void demand_of_a_refused_request_ends_when_it_may_come_again() {
        UseTable uses = new UseTable(new FixedIdlePolicy(1_000), new LoadTimeEstimate());
        uses.demand(MODEL, new Demand(1, 0, 5_000));
        assertThat(uses.demand(4_999)).containsKey(MODEL);
        assertThat(uses.demand(5_000)).isEmpty();
    }
}
