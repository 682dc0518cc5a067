package org.poplarwharf.internal.log;

import java.util.OptionalLong;
import org.poplarwharf.internal.log.RecordStream.ApplyResult;

/**
 * The state that results from applying the records of a stream in order.
 *
 * <p>Called on the control thread only. Invariant: the effect of {@link #apply} depends only on the records applied
 * so far, so that all readers of the same prefix have the same state.
 *
 * @param <R> the record type
 */
public interface Fold<R> {
    /** Applies the next record and returns the result. Must not throw for any record of the type. */
    ApplyResult apply(long offset, R record);

    /**
     * Returns a record that contains the whole state.
     *
     * @param throughOffset the offset of the last record applied
     * @param writers the stream's encoded {@link WriterSequences}, which readers need to drop duplicate records
     */
    R createCheckpoint(long throughOffset, byte[] writers);

    /** Returns the offset of the last record that a checkpoint covers; empty if the record is not a checkpoint. */
    OptionalLong checkpointOffset(R record);

    /**
     * Replaces the state by that of a checkpoint and returns the encoded writers in it; empty if the fold doesn't need
     * them to drop duplicate records. If the checkpoint can't be decoded, throws {@code malformed-message} and leaves
     * the state unchanged.
     */
    byte[] restore(R checkpoint);
}
