package org.poplarwharf.internal.log;

import java.util.OptionalLong;
import org.poplarwharf.internal.log.RecordStream.ApplyResult;

/**
 * The state that a stream's records fold into.
 *
 * <p>Called from the control thread only. Invariant: what {@link #apply} does depends on the records applied so far and
 * on nothing else, so that every reader of the same prefix has the same state.
 *
 * @param <R> the record type
 */
public interface Fold<R> {
    /** Takes the next record and tells what it did. Never fails on a record of the right type. */
    ApplyResult apply(long offset, R record);

    /**
     * Returns a record that holds the whole state.
     *
     * @param throughOffset the offset of the last record applied
     * @param writers what the stream must remember of writers to go on dropping repeats
     */
    R createCheckpoint(long throughOffset, byte[] writers);

    /** Returns the offset through which a record holds the state; empty for a record that is no checkpoint. */
    OptionalLong checkpointOffset(R record);

    /**
     * Replaces the state by a checkpoint's and returns what it holds about writers, empty when the fold needs none to
     * drop repeats. Raises {@code malformed-message}, and changes nothing, where the checkpoint can't be read.
     */
    byte[] restore(R checkpoint);
}
