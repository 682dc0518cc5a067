package org.poplarwharf.internal.cell;

import io.activej.promise.Promise;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.poplarwharf.internal.idle.FixedIdlePolicy;
import org.poplarwharf.internal.kernel.NodeSettings;
import org.poplarwharf.internal.state.CellRecord.Author;
import org.poplarwharf.plugins.VmList;

/** A node of a {@link CellSimulation}: a real cell runtime on fakes, which can be paused and killed. */
final class CellNode {
    final CellSimulation simulation;
    final Author author;
    final FakeLog.Follower stream;
    final CellRuntime cell;
    final VmListPoller vmListPoller;
    boolean paused;
    boolean dead;
    private final List<Runnable> postedCallbacks = new ArrayList<>();

    CellNode(CellSimulation simulation, String nodeId, long incarnation) {
        this.simulation = simulation;
        this.author = new Author(nodeId, incarnation);
        this.stream = simulation.log.follower();
        VmList vmListSource = () -> Promise.of(List.copyOf(simulation.vmList));
        this.vmListPoller = new VmListPoller(vmListSource);
        CellRuntime.SharedServices shared = new CellRuntime.SharedServices(
                author,
                settings(nodeId, "vm-" + nodeId + incarnation),
                () -> simulation.nowMillis,
                simulation.engines.dialect(this),
                vmListPoller,
                new StoreLoadLimiter(1_000, 100, simulation.nowMillis),
                () -> simulation.config,
                cellName -> Optional.empty(),
                cellName -> Map.of());
        CellStreams.OpenedStream openedStream =
                new CellStreams.OpenedStream(stream, stream.state, new CellStreams.StreamControl() {});
        this.cell = new CellRuntime(
                CellSimulation.CELL, shared, openedStream, new FixedIdlePolicy(CellSimulation.KEEP_ALIVE_MILLIS));
    }

    void post(Runnable callback) {
        postedCallbacks.add(callback);
    }

    boolean isRunning() {
        return !paused && !dead;
    }

    void append() {
        if (isRunning()) {
            stream.append();
        }
    }

    /** Reads the stream, runs the posted callbacks and ticks the cell, unless the node is paused or dead. */
    void takeTurn() {
        if (!isRunning()) {
            return;
        }
        stream.read();
        List<Runnable> due = List.copyOf(postedCallbacks);
        postedCallbacks.clear();
        due.forEach(Runnable::run);
        vmListPoller.tick(simulation.nowMillis);
        cell.tick();
    }

    boolean holdsLease() {
        return isRunning() && cell.mayLoad();
    }

    static NodeSettings settings(String nodeId, String vmId) {
        return new NodeSettings(
                nodeId,
                vmId,
                "z",
                "",
                nodeId,
                "",
                Optional.empty(),
                List.of(),
                "",
                "",
                "",
                "",
                "",
                "",
                "",
                1,
                CellSimulation.LEASE_MILLIS,
                100,
                500,
                100,
                CellSimulation.KEEP_ALIVE_MILLIS,
                1_000,
                1_000,
                1_000,
                100,
                1,
                3_600_000,
                Optional.empty(),
                0,
                1_800_000);
    }
}
