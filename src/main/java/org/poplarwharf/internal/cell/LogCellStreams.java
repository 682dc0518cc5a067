package org.poplarwharf.internal.cell;

import org.poplarwharf.internal.kernel.NodeContext;
import org.poplarwharf.internal.log.Checkpointer;
import org.poplarwharf.internal.log.FoldingStream;
import org.poplarwharf.internal.log.StreamContext;
import org.poplarwharf.internal.log.StreamContextFactory;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellState;

/** Opens the streams of cells on the log of the platform. Confined to the control thread. */
final class LogCellStreams implements CellStreams {
    private final NodeContext context;

    LogCellStreams(NodeContext context) {
        this.context = context;
    }

    @Override
    public OpenedStream open(String cell) {
        StreamContext parts = StreamContextFactory.of(context).createContext(CellRecord.streamName(cell));
        CellState state = new CellState();
        FoldingStream<CellRecord> stream = new FoldingStream<>(parts, CellRecord.class, state);
        Checkpointer<CellRecord> checkpointer = new Checkpointer<>(parts, stream, state);
        return new OpenedStream(stream, state, new FoldingStreamControl(stream, checkpointer));
    }

    private record FoldingStreamControl(FoldingStream<CellRecord> stream, Checkpointer<CellRecord> checkpointer)
            implements StreamControl {
        @Override
        public void start() {
            stream.start();
        }

        @Override
        public void setHolder(boolean holder) {
            if (holder) {
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
