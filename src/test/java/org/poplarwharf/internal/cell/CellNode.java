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

/** One node of a {@link CellWorld}: a real cell runtime over fakes, which can be paused and killed. */
final class CellNode {
    final CellWorld world;
    final Author author;
    final FakeLog.Follower stream;
    final CellRuntime cell;
    final VmWatcher vms;
    boolean paused;
    boolean dead;
    private final List<Runnable> posted = new ArrayList<>();

    CellNode(CellWorld world, String nodeId, long incarnation) {
        this.world = world;
        this.author = new Author(nodeId, incarnation);
        this.stream = world.log.follower();
        VmList list = () -> Promise.of(List.copyOf(world.vmList));
        this.vms = new VmWatcher(list);
        CellRuntime.Parts parts = new CellRuntime.Parts(
                author,
                settings(nodeId, "vm-" + nodeId + incarnation),
                () -> world.nowMillis,
                world.engines.dialect(this),
                vms,
                new StoreBudget(1_000, 100, world.nowMillis),
                () -> world.config,
                cellName -> Optional.empty(),
                cellName -> Map.of());
        CellStreams.Opened opened = new CellStreams.Opened(stream, stream.state, new CellStreams.Control() {});
        this.cell = new CellRuntime(CellWorld.CELL, parts, opened, new FixedIdlePolicy(CellWorld.KEEP_ALIVE_MILLIS));
    }

    void post(Runnable callback) {
        posted.add(callback);
    }

    boolean runs() {
        return !paused && !dead;
    }

    void append() {
        if (runs()) {
            stream.append();
        }
    }

    void act() {
        if (!runs()) {
            return;
        }
        stream.read();
        List<Runnable> due = List.copyOf(posted);
        posted.clear();
        due.forEach(Runnable::run);
        vms.tick(world.nowMillis);
        cell.tick();
    }

    boolean holds() {
        return runs() && cell.mayLoad();
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
                CellWorld.LEASE_MILLIS,
                100,
                500,
                100,
                CellWorld.KEEP_ALIVE_MILLIS,
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
