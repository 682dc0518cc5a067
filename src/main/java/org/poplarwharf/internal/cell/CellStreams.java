package org.poplarwharf.internal.cell;

import org.poplarwharf.internal.log.RecordStream;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellStateView;

/**
 * Opens the streams of cells.
 *
 * <p>Called on the control thread only.
 */
@FunctionalInterface
interface CellStreams {
    /**
     * Opens the stream of a cell without starting to read it. The returned state is folded from exactly the records
     * of that stream.
     */
    OpenedStream open(String cell);

    /** A stream, the state folded from it and its control. */
    record OpenedStream(RecordStream<CellRecord> stream, CellStateView state, StreamControl control) {}

    /** Operations on a stream other than reading and appending records. */
    interface StreamControl {
        /** Starts reading. Call after all listeners are registered. */
        default void start() {}

        /** Sets whether this node holds the lease. Only the lease holder writes checkpoints. */
        default void setHolder(boolean holder) {}

        default void stop() {}
    }
}
