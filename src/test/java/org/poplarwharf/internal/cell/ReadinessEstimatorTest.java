package org.poplarwharf.internal.cell;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.poplarwharf.FailureCode;

/** Checks when a load time is estimated for an artifact that is not loaded. */
class ReadinessEstimatorTest {
    private final CellSimulation simulation = new CellSimulation(true, 1);

    @Test
    void load_time_is_estimated_before_the_first_report_of_any_engine() {
        CellNode node = simulation.start("a", 1);

        assertThat(node.cell.replicas().readyInMillis(CellSimulation.LLAMA)).isPresent();
    }

    @Test
    void load_time_is_estimated_while_an_expired_lease_can_be_renewed() {
        CellNode node = simulation.start("a", 1);
        simulation.runUntil("the model is loaded", () -> simulation.engines.replicaCount(CellSimulation.LLAMA) == 1);
        simulation.nowMillis += CellNode.settings("a", "vm").leaseMillis();
        node.stream.read();

        assertThat(node.cell.mayLoad()).isFalse();
        assertThat(node.cell.replicas().readyInMillis(CellSimulation.MISTRAL)).isEmpty();
        simulation.configure(CellSimulation.model("mistral", "1", 60, 1));
        assertThat(node.cell.replicas().readyInMillis(CellSimulation.MISTRAL)).isPresent();
    }

    @Test
    void no_load_time_is_estimated_while_the_log_does_not_respond() {
        CellNode node = simulation.start("a", 1);
        simulation.runUntilHeld();
        node.stream.setDisconnected(true);

        assertThat(node.cell.replicas().readyInMillis(CellSimulation.MISTRAL)).isEmpty();
        assertThat(node.cell.replicas().notReadyCode(CellSimulation.MISTRAL)).isEqualTo(FailureCode.LOG_UNAVAILABLE);
    }
}
