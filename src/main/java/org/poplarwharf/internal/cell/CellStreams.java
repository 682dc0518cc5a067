package org.poplarwharf.internal.cell;

import org.poplarwharf.internal.log.RecordStream;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellStateView;

/**
 * Opens the streams of cells. Offered by the role that owns the log client.
 *
 * <p>Called from the control thread only.
 */
@FunctionalInterface
public interface CellStreams {
    /** Starts to follow a cell's stream; the state is folded from exactly its records. */
    Opened open(String cell);

    /** A stream with the state that follows it. */
    record Opened(RecordStream<CellRecord> stream, CellStateView state) {}
}
