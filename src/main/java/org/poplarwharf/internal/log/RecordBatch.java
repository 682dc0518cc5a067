package org.poplarwharf.internal.log;

import java.util.List;

/**
 * The payload of one log record: consecutive records of one writer, appended together.
 *
 * <p>Invariant: sequences of one writer and incarnation grow by one, batches are appended in order, and a batch whose
 * append got no answer is appended again unchanged; a reader drops what it has seen of a writer. The fold's offset of
 * the record at index {@code i} is {@code logOffset * MAX_RECORDS + i}, so each record has one of its own. Immutable and
 * thread-safe.
 *
 * @param records encoded records
 */
public record RecordBatch(String writerId, long incarnation, long firstSequence, List<byte[]> records) {
    /** The most records in a batch. */
    public static final int MAX_RECORD_COUNT = 1_000;

    /** Returns the fold's offset of a record. */
    public static long recordOffset(long logOffset, int index) {
        return logOffset * MAX_RECORD_COUNT + index;
    }

    /** Returns the log offset that holds a record of the fold. */
    public static long logOffset(long recordOffset) {
        return recordOffset / MAX_RECORD_COUNT;
    }
}
