package org.poplarwharf.internal.log;

import java.util.List;
import java.util.OptionalLong;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.codec.MessagePackCodec;
import org.poplarwharf.internal.log.RecordStream.ApplyResult;
import org.poplarwharf.plugins.EventLog.Entry;

/**
 * Turns the entries of a stream into steps of its fold: decodes batches, drops repeats, applies records.
 *
 * <p>Invariants: entries are taken in log order, each once; the state after a prefix is the same whichever pages it came
 * in and whichever checkpoint it began at. What does not decode is counted and skipped. Belongs to the control thread.
 *
 * @param <R> the record type
 */
final class RecordFolder<R> {
    private static final MessagePackCodec<RecordBatch> BATCHES = new MessagePackCodec<>(RecordBatch.class);

    private final String stream;
    private final Fold<R> fold;
    private final MessagePackCodec<R> codec;
    private final StreamMonitor monitor;
    private final WriterSequences writers = new WriterSequences();
    private long nextLogOffset;
    private long appliedOffset = -1;

    /** Hears of each record that the fold has taken. */
    interface Sink<R> {
        void onApplied(RecordBatch batch, int index, R record, ApplyResult applied);
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

    WriterSequences writers() {
        return writers;
    }

    byte[] encode(R record) {
        return codec.encode(record);
    }

    /** Takes the entry at {@link #nextLogOffset} or behind it. */
    void foldEntry(Entry entry, Sink<R> sink) {
        RecordBatch batch = decodeBatch(entry);
        if (batch != null) {
            int repeats = writers.recordAndCountDuplicates(batch);
            monitor.duplicates.inc(repeats);
            for (int i = repeats; i < batch.records().size(); i++) {
                applyOne(entry, batch, i, sink);
            }
        }
        nextLogOffset = entry.offset() + 1;
    }

    private void applyOne(Entry entry, RecordBatch batch, int index, Sink<R> sink) {
        R record = decodeRecord(batch.records().get(index));
        if (record == null) {
            return;
        }
        long offset = RecordBatch.recordOffset(entry.offset(), index);
        ApplyResult applied = apply(offset, record);
        appliedOffset = offset;
        sink.onApplied(batch, index, record, applied);
    }

    private ApplyResult apply(long offset, R record) {
        try {
            return fold.apply(offset, record);
        } catch (RuntimeException e) {
            skip(e);
            return new ApplyResult(offset, false, "the record can't be applied");
        }
    }

    /** Returns a record with the state through the last entry taken. Not to be called while an entry is being taken. */
    R createCheckpoint() {
        return fold.createCheckpoint(RecordBatch.recordOffset(nextLogOffset, 0) - 1, writers.encode());
    }

    /** Takes a checkpoint's state when it is ahead of this one; returns whether it did. */
    boolean restoreIfNewer(R checkpoint) {
        OptionalLong through = fold.checkpointOffset(checkpoint);
        if (through.isEmpty() || through.getAsLong() < RecordBatch.recordOffset(nextLogOffset, 0)) {
            return false;
        }
        byte[] known;
        try {
            known = fold.restore(checkpoint);
        } catch (PoplarWharfException malformed) {
            skip(malformed);
            return false;
        }
        restoreWriters(known);
        appliedOffset = through.getAsLong();
        nextLogOffset = RecordBatch.logOffset(appliedOffset + 1);
        return true;
    }

    private void restoreWriters(byte[] known) {
        try {
            if (known.length > 0) {
                writers.restore(known);
            }
        } catch (PoplarWharfException malformed) {
            skip(malformed);
        }
    }

    /** Takes the first checkpoint of an entry that covers everything before an offset; returns whether there was one. */
    boolean restoreFirstCheckpoint(Entry entry, long firstOffset) {
        RecordBatch batch = decodeBatch(entry);
        if (batch == null) {
            return false;
        }
        long neededThrough = RecordBatch.recordOffset(firstOffset, 0) - 1;
        for (byte[] bytes : batch.records()) {
            R record = decodeRecord(bytes);
            if (record == null) {
                continue;
            }
            OptionalLong through = fold.checkpointOffset(record);
            if (through.isPresent() && through.getAsLong() >= neededThrough && restoreIfNewer(record)) {
                return true;
            }
        }
        return false;
    }

    private RecordBatch decodeBatch(Entry entry) {
        try {
            RecordBatch batch = BATCHES.decode(entry.payload(), "stream " + stream);
            List<byte[]> records = batch.records();
            boolean whole = batch.writerId() != null && records != null && !records.contains(null);
            if (whole && records.size() <= RecordBatch.MAX_RECORD_COUNT) {
                return batch;
            }
            skip(null);
        } catch (PoplarWharfException malformed) {
            skip(malformed);
        }
        return null;
    }

    private R decodeRecord(byte[] bytes) {
        try {
            return codec.decode(bytes, "stream " + stream);
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
