package org.poplarwharf.internal.cell;

import io.activej.promise.Promise;
import java.util.ArrayList;
import java.util.List;
import org.poplarwharf.internal.kernel.NodeContext;
import org.poplarwharf.internal.kernel.Role;
import org.poplarwharf.internal.log.Checkpointer;
import org.poplarwharf.internal.log.FoldingStream;
import org.poplarwharf.internal.log.NodeStreams;
import org.poplarwharf.internal.log.StreamParts;
import org.poplarwharf.internal.log.StreamSettings;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellRecord.Author;
import org.poplarwharf.internal.state.CellState;

/**
 * Opens cells' streams on the platform's log.
 *
 * <p>Invariant: while this node holds a cell's lease by the last record read, it keeps the stream's checkpoints young
 * enough for the log's retention. Belongs to the control thread.
 */
final class LogCellStreams implements CellStreams, Role {
    static final String NAME = "cell-streams";

    private final NodeContext context;
    private final StreamSettings settings;
    private final Author self;
    private final List<FoldingStream<CellRecord>> streams = new ArrayList<>();

    LogCellStreams(NodeContext context, StreamSettings settings) {
        this.context = context;
        this.settings = settings;
        this.self = new Author(context.settings().nodeId(), context.incarnation());
        context.offer(CellStreams.class, this);
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Promise<Void> start() {
        return Promise.complete();
    }

    @Override
    public Promise<Void> drain() {
        return Promise.complete();
    }

    @Override
    public Promise<Void> stop() {
        streams.forEach(FoldingStream::stop);
        return Promise.complete();
    }

    @Override
    public Opened open(String cell) {
        StreamParts parts = NodeStreams.of(context).parts(CellRecord.stream(cell), settings);
        CellState state = new CellState();
        FoldingStream<CellRecord> stream = new FoldingStream<>(parts, CellRecord.class, state);
        Checkpointer<CellRecord> checkpointer = new Checkpointer<>(parts, stream, state);
        stream.onApplied((record, applied) -> {
            if (holds(state)) {
                checkpointer.activate();
            } else {
                checkpointer.deactivate();
            }
        });
        streams.add(stream);
        stream.start();
        return new Opened(stream, state);
    }

    private boolean holds(CellState state) {
        return state.lease()
                .filter(lease -> !lease.released() && lease.holder().equals(self))
                .isPresent();
    }
}
