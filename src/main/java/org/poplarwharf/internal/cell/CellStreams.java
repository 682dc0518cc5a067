package org.poplarwharf.internal.cell;

import org.poplarwharf.internal.log.RecordStream;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellStateView;

/**
 * Opens the streams of cells.
 *
 * <p>Called from the control thread only.
 */
@FunctionalInterface
interface CellStreams {
    /** Prepares to follow a cell's stream; the state is folded from exactly its records. */
    Opened open(String cell);

    /** A stream with the state that follows it. */
    record Opened(RecordStream<CellRecord> stream, CellStateView state, Control control) {}

    /** What the runtime of a cell asks of its stream beside records. */
    interface Control {
        /** Begins to read, once all listeners are registered. */
        default void start() {}

        /** Only the holder writes checkpoints. */
        default void holding(boolean holds) {}

        default void stop() {}
    }
}
