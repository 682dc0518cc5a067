package org.poplarwharf.internal.log;

import java.util.LinkedHashMap;
import java.util.List;
import org.poplarwharf.internal.codec.MessagePackCodec;

/**
 * What a reader remembers of writers to drop repeated records.
 *
 * <p>Invariants: the memory is a function of the batches read, so that every reader drops the same records; only the
 * latest incarnation of a writer counts; at most {@link #MAX_WRITER_COUNT} are kept, the most recently read ones. Belongs to
 * the control thread.
 */
final class WriterSequences {
    static final int MAX_WRITER_COUNT = 4_096;

    private static final MessagePackCodec<Snapshot> CODEC = new MessagePackCodec<>(Snapshot.class);

    private final LinkedHashMap<String, Writer> writers = new LinkedHashMap<>();

    /** One writer; records below {@code nextSequence} have been read. */
    record Writer(String id, long incarnation, long nextSequence) {}

    /** All writers, the least recently read first. */
    record Snapshot(List<Writer> writers) {}

    /** Takes a batch and returns how many of its first records are repeats. */
    int recordAndCountDuplicates(RecordBatch batch) {
        int size = batch.records().size();
        Writer known = writers.get(batch.writerId());
        if (known != null && batch.incarnation() < known.incarnation()) {
            return size;
        }
        long seenThrough =
                known != null && batch.incarnation() == known.incarnation() ? known.nextSequence() : Long.MIN_VALUE;
        long nextSequence = Math.max(seenThrough, batch.firstSequence() + size);
        remember(new Writer(batch.writerId(), batch.incarnation(), nextSequence));
        long repeats = seenThrough == Long.MIN_VALUE ? 0 : seenThrough - batch.firstSequence();
        return Math.clamp(repeats, 0, size);
    }

    /** Tells whether a later incarnation of a writer has been read. */
    boolean isSuperseded(String writerId, long incarnation) {
        Writer known = writers.get(writerId);
        return known != null && known.incarnation() > incarnation;
    }

    /** Returns the first sequence of a writer that has not been read; zero when none has. */
    long nextSequence(String writerId, long incarnation) {
        Writer known = writers.get(writerId);
        return known != null && known.incarnation() == incarnation ? known.nextSequence() : 0;
    }

    byte[] encode() {
        return CODEC.encode(new Snapshot(List.copyOf(writers.values())));
    }

    void restore(byte[] encoded) {
        Snapshot known = CODEC.decode(encoded, "a checkpoint's writers");
        writers.clear();
        known.writers().forEach(this::remember);
    }

    private void remember(Writer writer) {
        writers.remove(writer.id());
        writers.put(writer.id(), writer);
        if (writers.size() > MAX_WRITER_COUNT) {
            writers.remove(writers.keySet().iterator().next());
        }
    }
}
