package org.poplarwharf.internal.log;

import java.util.LinkedHashMap;
import java.util.List;
import org.poplarwharf.internal.codec.MessagePackCodec;

/**
 * Tracks the last sequence number read of each writer, so that readers drop duplicate records.
 *
 * <p>Invariants: the contents depend only on the batches read, so that all readers drop the same records. Records of a
 * writer's earlier incarnations are dropped as duplicates. At most {@link #MAX_WRITER_COUNT} writers are kept; the
 * least recently read one is evicted first. Confined to the control thread.
 */
final class WriterSequences {
    static final int MAX_WRITER_COUNT = 4_096;

    private static final MessagePackCodec<Snapshot> CODEC = new MessagePackCodec<>(Snapshot.class);

    private final LinkedHashMap<String, Writer> writers = new LinkedHashMap<>();

    /** The state of one writer; its records below {@code nextSequence} have been read. */
    record Writer(String id, long incarnation, long nextSequence) {}

    /** All writers, the least recently read one first. */
    record Snapshot(List<Writer> writers) {}

    /**
     * Updates the sequence number of a batch's writer and returns how many leading records of the batch are duplicates.
     */
    int recordAndCountDuplicates(RecordBatch batch) {
        int size = batch.records().size();
        Writer known = writers.get(batch.writerId());
        if (known != null && batch.incarnation() < known.incarnation()) {
            return size;
        }
        long firstUnseenSequence =
                known != null && batch.incarnation() == known.incarnation() ? known.nextSequence() : Long.MIN_VALUE;
        long nextSequence = Math.max(firstUnseenSequence, batch.firstSequence() + size);
        putAsMostRecent(new Writer(batch.writerId(), batch.incarnation(), nextSequence));
        long duplicateCount = firstUnseenSequence == Long.MIN_VALUE ? 0 : firstUnseenSequence - batch.firstSequence();
        return Math.clamp(duplicateCount, 0, size);
    }

    /** Returns whether a batch of a later incarnation of a writer has been read. */
    boolean isSuperseded(String writerId, long incarnation) {
        Writer known = writers.get(writerId);
        return known != null && known.incarnation() > incarnation;
    }

    /** Returns the first sequence number of a writer that has not been read; zero if no record of it has been read. */
    long nextSequence(String writerId, long incarnation) {
        Writer known = writers.get(writerId);
        return known != null && known.incarnation() == incarnation ? known.nextSequence() : 0;
    }

    byte[] encode() {
        return CODEC.encode(new Snapshot(List.copyOf(writers.values())));
    }

    void restore(byte[] encoded) {
        Snapshot snapshot = CODEC.decode(encoded, "a checkpoint's writers");
        writers.clear();
        snapshot.writers().forEach(this::putAsMostRecent);
    }

    private void putAsMostRecent(Writer writer) {
        writers.remove(writer.id());
        writers.put(writer.id(), writer);
        if (writers.size() > MAX_WRITER_COUNT) {
            writers.remove(writers.keySet().iterator().next());
        }
    }
}
