package org.poplarwharf.internal.log;

import java.util.List;
import java.util.OptionalLong;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.codec.MessagePackCodec;
import org.poplarwharf.internal.log.RecordStream.ApplyResult;
import org.poplarwharf.plugins.EventLog.Entry;

/**
 * Applies the log entries of a stream to its fold: decodes batches, drops duplicate records and applies the others.
 *
 * <p>Invariants: entries are applied in log order, each once. The state after a prefix of the log does not depend on
 * how the prefix was split into pages, nor on the checkpoint from which reading started. Batches and records that can't
 * be decoded are counted and skipped. Confined to the control thread.
 *
 * @param <R> the record type
 */
final class RecordFolder<R> {
    private static final MessagePackCodec<RecordBatch> BATCH_CODEC = new MessagePackCodec<>(RecordBatch.class);

    private final String stream;
    private final Fold<R> fold;
    private final MessagePackCodec<R> codec;
    private final StreamMonitor monitor;
    private final WriterSequences writerSequences = new WriterSequences();
    private long nextLogOffset;
    private long appliedOffset = -1;

    /** Receives each record after the fold has applied it. */
    interface Sink<R> {
        void onApplied(RecordBatch batch, int index, R record, ApplyResult result);
    }

    RecordFolder(String stream, Class<R> type, Fold<R> fold, StreamMonitor monitor) {
        this.stream = stream;
        this.fold = fold;
        this.codec = new MessagePackCodec<>(type);
        this.monitor = monitor;
    }

    long nextLogOffset() {
        return nextLogOffset;
    }

    long appliedOffset() {
        return appliedOffset;
    }

    WriterSequences writerSequences() {
        return writerSequences;
    }

    byte[] encode(R record) {
        return codec.encode(record);
    }

    /** Applies the records of an entry, whose offset must be {@link #nextLogOffset} or greater. */
    void foldEntry(Entry entry, Sink<R> sink) {
        RecordBatch batch = decodeBatch(entry);
        if (batch != null) {
            int duplicateCount = writerSequences.recordAndCountDuplicates(batch);
            monitor.duplicates.inc(duplicateCount);
            for (int i = duplicateCount; i < batch.records().size(); i++) {
                applyRecord(entry, batch, i, sink);
            }
        }
        nextLogOffset = entry.offset() + 1;
    }

    private void applyRecord(Entry entry, RecordBatch batch, int index, Sink<R> sink) {
        R record = decodeRecord(batch.records().get(index));
        if (record == null) {
            return;
        }
        long offset = RecordBatch.recordOffset(entry.offset(), index);
        ApplyResult result = apply(offset, record);
        appliedOffset = offset;
        sink.onApplied(batch, index, record, result);
    }

    private ApplyResult apply(long offset, R record) {
        try {
            return fold.apply(offset, record);
        } catch (RuntimeException e) {
            skip(e);
            return new ApplyResult(offset, false, "the record can't be applied");
        }
    }

    /** Returns a checkpoint of the state after the last applied entry. Must not be called while an entry is applied. */
    R createCheckpoint() {
        return fold.createCheckpoint(RecordBatch.recordOffset(nextLogOffset, 0) - 1, writerSequences.encode());
    }

    /** Restores the state from a checkpoint if it is newer than the current state; returns whether it was restored. */
    boolean restoreIfNewer(R checkpoint) {
        OptionalLong checkpointOffset = fold.checkpointOffset(checkpoint);
        if (checkpointOffset.isEmpty() || checkpointOffset.getAsLong() < RecordBatch.recordOffset(nextLogOffset, 0)) {
            return false;
        }
        byte[] encodedWriters;
        try {
            encodedWriters = fold.restore(checkpoint);
        } catch (PoplarWharfException malformed) {
            skip(malformed);
            return false;
        }
        restoreWriters(encodedWriters);
        appliedOffset = checkpointOffset.getAsLong();
        nextLogOffset = RecordBatch.logOffset(appliedOffset + 1);
        return true;
    }

    private void restoreWriters(byte[] encodedWriters) {
        try {
            if (encodedWriters.length > 0) {
                writerSequences.restore(encodedWriters);
            }
        } catch (PoplarWharfException malformed) {
            skip(malformed);
        }
    }

    /**
     * Restores the first checkpoint of an entry that covers all entries before an offset; returns whether one was
     * found.
     */
    boolean restoreFirstCheckpoint(Entry entry, long firstOffset) {
        RecordBatch batch = decodeBatch(entry);
        if (batch == null) {
            return false;
        }
        long requiredOffset = RecordBatch.recordOffset(firstOffset, 0) - 1;
        for (byte[] encodedRecord : batch.records()) {
            R record = decodeRecord(encodedRecord);
            if (record == null) {
                continue;
            }
            OptionalLong checkpointOffset = fold.checkpointOffset(record);
            if (checkpointOffset.isPresent()
                    && checkpointOffset.getAsLong() >= requiredOffset
                    && restoreIfNewer(record)) {
                return true;
            }
        }
        return false;
    }

    private RecordBatch decodeBatch(Entry entry) {
        try {
            RecordBatch batch = BATCH_CODEC.decode(entry.payload(), "stream " + stream);
            List<byte[]> records = batch.records();
            boolean isComplete = batch.writerId() != null && records != null && !records.contains(null);
            if (isComplete && records.size() <= RecordBatch.MAX_RECORD_COUNT) {
                return batch;
            }
            skip(null);
        } catch (PoplarWharfException malformed) {
            skip(malformed);
        }
        return null;
    }

    private R decodeRecord(byte[] encodedRecord) {
        try {
            return codec.decode(encodedRecord, "stream " + stream);
        } catch (PoplarWharfException malformed) {
            skip(malformed);
            return null;
        }
    }

    private void skip(Throwable cause) {
        monitor.skipped.inc();
        monitor.warn(StreamEvent.STREAM_RECORD_SKIPPED, cause);
    }
}
