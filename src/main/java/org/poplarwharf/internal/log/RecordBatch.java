package org.poplarwharf.internal.log;

import java.util.List;

/**
 * The payload of one log entry: consecutive records of one writer that are appended together.
 *
 * <p>Invariant: the sequence numbers of one writer and incarnation are consecutive, and batches are appended in order.
 * A batch whose append got no response is appended again unchanged; readers drop the records that they have already
 * read from that writer. The record at index {@code i} has the record offset {@code logOffset * MAX_RECORD_COUNT + i},
 * which is unique in the stream. Immutable and thread-safe.
 *
 * @param firstSequence the sequence number of the first record
 * @param records the encoded records
 */
public record RecordBatch(String writerId, long incarnation, long firstSequence, List<byte[]> records) {
    /** The maximum number of records in a batch. */
    public static final int MAX_RECORD_COUNT = 1_000;

    /** Returns the record offset of the record at an index of a log entry. */
    public static long recordOffset(long logOffset, int index) {
        return logOffset * MAX_RECORD_COUNT + index;
    }

    /** Returns the offset of the log entry that contains a record. */
    public static long logOffset(long recordOffset) {
        return recordOffset / MAX_RECORD_COUNT;
    }
}
