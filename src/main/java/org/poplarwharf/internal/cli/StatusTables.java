package org.poplarwharf.internal.cli;

import java.io.PrintStream;
import java.util.List;
import org.poplarwharf.internal.admin.StatusReport;
import org.poplarwharf.internal.admin.StatusReport.CellStatus;
import org.poplarwharf.internal.admin.StatusReport.OrderStatus;
import org.poplarwharf.internal.admin.StatusReport.SlotStatus;

/** Prints the status of a node as text tables. Stateless and thread-safe. */
final class StatusTables {
    private static final String NONE = "-";

    private StatusTables() {}

    /** Prints all tables of a status report. */
    static void print(StatusReport report, PrintStream out) {
        TextTable node = new TextTable("NODE", "ZONE", "PHASE", "READY", "CONFIG", "PEERS");
        node.add(
                report.node(),
                report.zone(),
                report.phase(),
                report.ready(),
                formatVersion(report.configVersion()),
                report.peers().size());
        node.print(out);
        out.println();
        printPeers(report, out);
        printCells(report, out);
        printSlots(report, out);
        printReservedSlots(report, out);
        printQueues(report, out);
        printSuspects(report, out);
    }

    private static void printPeers(StatusReport report, PrintStream out) {
        TextTable peers = new TextTable("PEER", "CONFIG");
        report.peers().forEach(peer -> peers.add(peer.address(), formatVersion(peer.configVersion())));
        peers.print(out);
        out.println();
    }

    private static String formatVersion(long configVersion) {
        return configVersion < 0 ? NONE : Long.toString(configVersion);
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
                        .map(order -> order.kind() + "@" + order.intentOffset() + " by " + order.author())
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

    /** Prints the open orders that keep slots reserved: the sender of each order and the event that would settle it. */
    private static void printReservedSlots(StatusReport report, PrintStream out) {
        TextTable reserved = new TextTable("CELL", "RESERVED", "TARGET", "INTENT", "ORDER", "AUTHOR", "WAITS FOR");
        for (CellStatus cell : report.cells()) {
            for (SlotStatus slot : cell.slots()) {
                for (OrderStatus order : slot.openOrders()) {
                    reserved.add(
                            cell.name(),
                            slot.artifact(),
                            slot.target(),
                            order.intentOffset(),
                            order.kind(),
                            order.author(),
                            waitsFor(cell, slot, order));
                }
            }
        }
        reserved.print(out);
        out.println();
    }

    private static String waitsFor(CellStatus cell, SlotStatus slot, OrderStatus order) {
        if (order.author().equals(cell.holder())) {
            return "a response of " + slot.target() + ", or its restart";
        }
        return slot.fencing()
                ? "a higher fencing number accepted by " + slot.target()
                : "a report, the restart or the end of the VM of " + order.author();
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
