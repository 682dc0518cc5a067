package org.poplarwharf.internal.cell;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.poplarwharf.FailureCode;

class ReadinessTest {
    private final CellWorld world = new CellWorld(true, 1);

    @Test
    void a_load_is_predicted_before_the_first_report_of_any_engine() {
        CellNode node = world.start("a", 1);

        assertThat(node.cell.replicas().readyInMillis(CellWorld.LLAMA)).isPresent();
    }

    @Test
    void a_load_is_predicted_while_a_lapsed_lease_can_be_renewed() {
        CellNode node = world.start("a", 1);
        world.until("loaded", () -> world.engines.holding(CellWorld.LLAMA) == 1);
        world.nowMillis += CellNode.settings("a", "vm").leaseMillis();
        node.stream.read();

        assertThat(node.cell.mayLoad()).isFalse();
        assertThat(node.cell.replicas().readyInMillis(CellWorld.MISTRAL)).isEmpty();
        world.configure(CellWorld.model("mistral", "1", 60, 1));
        assertThat(node.cell.replicas().readyInMillis(CellWorld.MISTRAL)).isPresent();
    }

    @Test
    void no_load_is_predicted_while_the_log_does_not_answer() {
        CellNode node = world.start("a", 1);
        world.untilHeld();
        node.stream.cut(true);

        assertThat(node.cell.replicas().readyInMillis(CellWorld.MISTRAL)).isEmpty();
        assertThat(node.cell.replicas().notReadyCode(CellWorld.MISTRAL)).isEqualTo(FailureCode.LOG_UNAVAILABLE);
    }
}
