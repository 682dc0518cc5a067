package org.poplarwharf.internal.cell;

import org.poplarwharf.internal.kernel.NodeContext;
import org.poplarwharf.internal.log.Checkpointer;
import org.poplarwharf.internal.log.FoldingStream;
import org.poplarwharf.internal.log.StreamContext;
import org.poplarwharf.internal.log.StreamContextFactory;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellState;

/** Opens the streams of cells on the platform's log. Belongs to the control thread. */
final class NodeCellStreams implements CellStreams {
    private final NodeContext context;

    NodeCellStreams(NodeContext context) {
        this.context = context;
    }

    @Override
    public Opened open(String cell) {
        StreamContext parts = StreamContextFactory.of(context).createContext(CellRecord.stream(cell));
        CellState state = new CellState();
        FoldingStream<CellRecord> stream = new FoldingStream<>(parts, CellRecord.class, state);
        Checkpointer<CellRecord> checkpointer = new Checkpointer<>(parts, stream, state);
        return new Opened(stream, state, new FoldingControl(stream, checkpointer));
    }

    private record FoldingControl(FoldingStream<CellRecord> stream, Checkpointer<CellRecord> checkpointer)
            implements Control {
        @Override
        public void start() {
            stream.start();
        }

        @Override
        public void holding(boolean holds) {
            if (holds) {
                checkpointer.activate();
            } else {
                checkpointer.deactivate();
            }
        }

        @Override
        public void stop() {
            checkpointer.deactivate();
            stream.stop();
        }
    }
}
