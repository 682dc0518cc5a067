package org.poplarwharf.internal.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.util.List;
import org.poplarwharf.internal.admin.StatusReport;
import org.poplarwharf.internal.admin.StatusReport.CellStatus;
import org.poplarwharf.internal.admin.StatusReport.SlotStatus;

/** {@code poplarwharf status}: shows what a node tells of itself and its cells. Stateless and thread-safe. */
public final class StatusCommand implements Command {
    private static final String ADMIN = "admin";
    private static final String ADMIN_TOKEN = "admin-token";
    private static final String TOKEN = "token";
    private static final String JSON = "json";
    private static final String NONE = "-";
    private static final OptionSet OPTIONS = new OptionSet(
            "status",
            "",
            List.of(
                    OptionSpec.of(ADMIN, "HOST:PORT", "127.0.0.1:9080", "the administration address of a node"),
                    OptionSpec.of(TOKEN, "TEXT", "the node's --admin-token"),
                    OptionSpec.of(ADMIN_TOKEN, "TEXT", "the same, so that the node's variable works here too"),
                    OptionSpec.toggle(JSON, "print the node's JSON in place of tables")));

    @Override
    public String name() {
        return "status";
    }

    @Override
    public String summary() {
        return "shows the cells, placements, queues and configuration of a node";
    }

    @Override
    public int run(List<String> arguments, PrintStream out, PrintStream err) {
        return OPTIONS.run(arguments, out, err, values -> show(values, out));
    }

    private static int show(OptionValues values, PrintStream out) {
        String address = values.address(ADMIN);
        String token = values.optionalText(TOKEN)
                .orElseGet(() -> values.optionalText(ADMIN_TOKEN).orElse(""));
        values.require(!token.isEmpty(), TOKEN, "must be given");
        values.check();
        StatusReport report = new AdminClient(address, token).status();
        if (values.isSet(JSON)) {
            out.println(new ObjectMapper().valueToTree(report).toString());
            return EXIT_OK;
        }
        printTables(report, out);
        return EXIT_OK;
    }

    private static void printTables(StatusReport report, PrintStream out) {
        TextTable node = new TextTable("NODE", "ZONE", "PHASE", "READY", "CONFIG", "PEERS");
        node.add(
                report.node(),
                report.zone(),
                report.phase(),
                report.ready(),
                report.configVersion(),
                report.peers().size());
        node.print(out);
        out.println();
        printCells(report, out);
        printSlots(report, out);
        printQueues(report, out);
        printSuspects(report, out);
    }

    private static void printCells(StatusReport report, PrintStream out) {
        TextTable cells = new TextTable("CELL", "HOLDER", "HERE", "EPOCH", "CAUGHT UP", "CLAIMS", "EXCLUDED");
        for (CellStatus cell : report.cells()) {
            cells.add(
                    cell.name(),
                    cell.holder().isEmpty() ? NONE : cell.holder(),
                    cell.here(),
                    cell.epoch(),
                    cell.caughtUp(),
                    cell.claims(),
                    cell.excludedTargets().isEmpty() ? NONE : String.join(",", cell.excludedTargets()));
        }
        cells.print(out);
        out.println();
    }

    private static void printSlots(StatusReport report, PrintStream out) {
        TextTable slots = new TextTable("CELL", "TARGET", "ARTIFACT", "VERSION", "BYTES", "PHASE", "OPEN ORDERS");
        for (CellStatus cell : report.cells()) {
            for (SlotStatus slot : cell.slots()) {
                List<String> orders = slot.openOrders().stream()
                        .map(order -> order.kind() + "@" + order.intentOffset())
                        .toList();
                slots.add(
                        cell.name(),
                        slot.target(),
                        slot.artifact(),
                        slot.version(),
                        slot.sizeBytes(),
                        slot.phase(),
                        orders.isEmpty() ? NONE : String.join(",", orders));
            }
        }
        slots.print(out);
        out.println();
    }

    private static void printQueues(StatusReport report, PrintStream out) {
        TextTable queues = new TextTable("CELL", "ARTIFACT", "CLASS", "WAITING", "RUNNING");
        for (CellStatus cell : report.cells()) {
            cell.queues()
                    .forEach(queue -> queues.add(
                            cell.name(), queue.artifact(), queue.requestClass(), queue.waiting(), queue.running()));
        }
        queues.print(out);
        out.println();
    }

    private static void printSuspects(StatusReport report, PrintStream out) {
        TextTable suspects = new TextTable("CELL", "SUSPECT", "DEATHS", "CONDEMNED");
        for (CellStatus cell : report.cells()) {
            cell.suspects()
                    .forEach(suspect ->
                            suspects.add(cell.name(), suspect.fingerprint(), suspect.deaths(), suspect.condemned()));
        }
        suspects.print(out);
    }
}
