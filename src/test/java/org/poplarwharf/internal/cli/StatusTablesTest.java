package org.poplarwharf.internal.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.admin.StatusReport;
import org.poplarwharf.internal.admin.StatusReport.CellStatus;
import org.poplarwharf.internal.admin.StatusReport.OrderStatus;
import org.poplarwharf.internal.admin.StatusReport.PeerStatus;
import org.poplarwharf.internal.admin.StatusReport.SlotStatus;
import org.poplarwharf.internal.admin.StatusReport.SuspectStatus;
import org.poplarwharf.internal.admission.AdmissionController;
import org.poplarwharf.plugins.ArtifactId;

class StatusTablesTest {
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();

    @Test
    void prints_node_peers_cells_slots_queues_and_suspects() {
        SlotStatus loaded = new SlotStatus("t1", "register", "v1", 50, true, "loaded", List.of());
        OrderStatus order = new OrderStatus("load", 42, 7, "n2");
        SlotStatus reserved = new SlotStatus("t2", "audit:excise", "v2", 5, false, "intended", List.of(order));
        CellStatus cellWithHolder = new CellStatus(
                "c1",
                "n1",
                true,
                7,
                true,
                5,
                List.of(loaded, reserved),
                List.of(new SuspectStatus("f1", 2, true)),
                List.of("t3"),
                3,
                List.of(new AdmissionController.QueueStatus(ArtifactId.model("register"), "teller", 4, 2)));
        CellStatus cellWithoutHolder =
                new CellStatus("c2", "", false, -1, false, 9_000, List.of(), List.of(), List.of(), 0, List.of());
        List<PeerStatus> peers = List.of(new PeerStatus("10.0.0.2:7080", 12), new PeerStatus("10.0.0.3:7080", -1));
        StatusReport report =
                new StatusReport("n1", "a", "running", true, 12, peers, List.of(cellWithHolder, cellWithoutHolder));

        StatusTables.print(report, new PrintStream(output, true));

        assertThat(output.toString()).isEqualTo("""
                NODE  ZONE  PHASE    READY  CONFIG  PEERS
                n1    a     running  true   12      2

                PEER           CONFIG
                10.0.0.2:7080  12
                10.0.0.3:7080  -

                CELL  HOLDER  HERE   EPOCH  CAUGHT UP  CLAIMS  EXCLUDED
                c1    n1      true   7      true       3       t3
                c2    -       false  -1     false      0       -

                CELL  TARGET  ARTIFACT      VERSION  BYTES  PHASE     OPEN ORDERS
                c1    t1      register      v1       50     loaded    -
                c1    t2      audit:excise  v2       5      intended  load@42 by n2

                CELL  RESERVED      TARGET  INTENT  ORDER  AUTHOR  WAITS FOR
                c1    audit:excise  t2      42      load   n2      a report, the restart or the end of the VM of n2

                CELL  ARTIFACT  CLASS   WAITING  RUNNING
                c1    register  teller  4        2

                CELL  SUSPECT  DEATHS  CONDEMNED
                c1    f1       2       true
                """);
    }
}
