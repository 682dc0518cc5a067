package org.poplarwharf.internal.lease;

import java.util.Comparator;
import java.util.Optional;
import java.util.function.Consumer;
import org.poplarwharf.internal.topic.KeyedLog;
import org.poplarwharf.internal.topic.SnapshotReader;

/**
 * Reads and appends to the topic in which the holder of a lease has its record, among records that other writers may have put there.
 *
 * <p>Invariant: a lease whose record may be hidden counts as held until the topic has not grown for longer than a term, since a
 * holder appends to it within each term. Confined to one event loop.
 */
final class LeaseTopic {
    private static final String RECORD_KEY = "holder";

    private final KeyedLog log;
    private final String topic;
    private final LeaseTimings timings;
    private final LeaseClocks clocks;
    private final HolderLeaseListener listener;
    private Optional<KeyedLog.Position> endWithGap = Optional.empty();
    private long endWithGapMillis;

    LeaseTopic(KeyedLog log, String topic, LeaseTimings timings, LeaseClocks clocks, HolderLeaseListener listener) {
        this.log = log;
        this.topic = topic;
        this.timings = timings;
        this.clocks = clocks;
        this.listener = listener;
    }

    /**
     * What the topic has.
     *
     * @param end where the topic ended when the read began
     * @param record empty if the topic has no record of the lease
     */
    record Content(KeyedLog.Position end, Optional<StoredRecord> record) {}

    /**
     * A record of the lease.
     *
     * @param content empty if it cannot be decoded, so that its author is unknown
     */
    record StoredRecord(long offset, Optional<LeaseRecord> content) {}

    /** Reads the topic; the result is empty if it cannot be read, or not far enough to tell whether the lease is held. */
    void read(Consumer<Optional<Content>> callback) {
        SnapshotReader.read(
                log,
                topic,
                result -> callback.accept(
                        switch (result) {
                            case SnapshotReader.Snapshot snapshot -> decode(snapshot);
                            case SnapshotReader.Failed failed -> Optional.empty();
                        }));
    }

    /** Appends a record of the lease only if the topic still ends at the position. */
    void append(KeyedLog.Position end, LeaseRecord record, Consumer<KeyedLog.AppendResult> callback) {
        log.appendAt(topic, end, RECORD_KEY, record.encode(), callback);
    }

    private Optional<Content> decode(SnapshotReader.Snapshot snapshot) {
        for (KeyedLog.KeyedRecord record : snapshot.records()) {
            if (!record.key().equals(RECORD_KEY)) {
                listener.recordUnusable(record.key(), record.value(), "not a record of the lease");
            }
        }
        Content content = new Content(
                snapshot.end(),
                snapshot.records().stream()
                        .filter(record -> record.key().equals(RECORD_KEY))
                        .max(Comparator.comparingLong(KeyedLog.KeyedRecord::offset))
                        .map(this::decode));
        if (content.record().isPresent() || snapshot.gap().isEmpty()) {
            endWithGap = Optional.empty();
            return Optional.of(content);
        }
        return Optional.of(content).filter(read -> hasNotGrownForATerm(read.end()));
    }

    private StoredRecord decode(KeyedLog.KeyedRecord record) {
        Optional<LeaseRecord> content = LeaseRecord.decode(record.value());
        if (content.isEmpty()) {
            listener.recordUnusable(record.key(), record.value(), "author unknown");
        }
        return new StoredRecord(record.offset(), content);
    }

    private boolean hasNotGrownForATerm(KeyedLog.Position end) {
        long nowMillis = clocks.steadyMillis();
        if (!endWithGap.equals(Optional.of(end))) {
            endWithGap = Optional.of(end);
            endWithGapMillis = nowMillis;
        }
        return nowMillis - endWithGapMillis > timings.termMillis() + timings.orderGapMillis();
    }
}
