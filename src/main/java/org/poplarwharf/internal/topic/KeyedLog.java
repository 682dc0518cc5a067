package org.poplarwharf.internal.topic;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * A log whose topics keep the latest record of each key. A record without a value is a tombstone, which deletes its
 * key.
 *
 * <p>The log may be restored from a copy that is some seconds old. Then it has lost its latest records, gives out their
 * offsets again, and is in a new era. Era numbers only rise.
 *
 * <p>Each call passes exactly one result to its callback, on the caller's event loop.
 */
public interface KeyedLog {
    /**
     * Reads a page of the latest records of all keys, beginning after a key. The pages together are not a consistent
     * snapshot, as the topic may change between two reads.
     */
    void readLatest(String topic, Optional<String> afterKey, Consumer<LatestResult> callback);

    /** Reads the records from a position on; waits up to {@code waitMillis} if there is none yet. */
    void read(String topic, Position from, long waitMillis, Consumer<ReadResult> callback);

    /** Appends a record only if the topic ends at the given position. */
    void appendAt(String topic, Position end, String key, byte[] value, Consumer<AppendResult> callback);

    /** Appends records, all or none, wherever the topic ends. */
    void append(String topic, List<Entry> entries, Consumer<AppendResult> callback);

    /** Registers a listener for restores of the log that this node notices. */
    void onRestored(RestoreListener listener);

    /** Receives restores of the log. */
    interface RestoreListener {
        /** Called with the first response of a new era, before its result is passed on. */
        void restored(long previousEra, long era);
    }

    /** A place in a topic, which is valid in its era only. */
    record Position(long era, long offset) {}

    /** A key and its value to append; an empty value deletes the key. */
    record Entry(String key, byte[] value) {
        private static final int MAX_KEY_BYTES = 255;

        public Entry {
            int keyBytes = key.getBytes(StandardCharsets.UTF_8).length;
            if (keyBytes == 0 || keyBytes > MAX_KEY_BYTES) {
                throw new IllegalArgumentException("a key of " + keyBytes + " bytes");
            }
        }
    }

    /** A record of a topic. */
    record KeyedRecord(long offset, String key, byte[] value) {
        /** Returns whether the record deletes its key. */
        public boolean isTombstone() {
            return value.length == 0;
        }
    }

    /** The result of {@link #readLatest}. */
    sealed interface LatestResult permits Page, Refused, Unavailable {}

    /** The result of {@link #read}. */
    sealed interface ReadResult permits Records, Trimmed, Corrupt, Restored, Unavailable {}

    /** The result of {@link #appendAt} and {@link #append}. */
    sealed interface AppendResult permits Appended, EndMoved, Restored, OutcomeUnknown, Unavailable {}

    /**
     * A page of latest records; the topic ended at {@code end} when the page was read.
     *
     * @param keys the keys of the page in its order, also of records that cannot be read otherwise
     * @param unreadable what is known of each record of the page that cannot be read
     */
    record Page(List<KeyedRecord> records, List<String> keys, List<String> unreadable, boolean more, Position end)
            implements LatestResult {
        public Page(List<KeyedRecord> records, boolean more, Position end) {
            this(records, records.stream().map(KeyedRecord::key).toList(), List.of(), more, end);
        }
    }

    /** The log rejects the request for a page, and would reject it again. */
    record Refused(String reason) implements LatestResult {}

    /**
     * Records in the order of their offsets. The next record is at {@code next}; the topic ends at {@code endOffset}.
     *
     * @param unreadable what is known of each record before {@code next} that cannot be read
     */
    record Records(List<KeyedRecord> records, List<String> unreadable, Position next, long endOffset)
            implements ReadResult {
        public Records(List<KeyedRecord> records, Position next, long endOffset) {
            this(records, List.of(), next, endOffset);
        }
    }

    /** The log no longer retains all records from the requested offset on, but those from the first offset, if it is stated. */
    record Trimmed(OptionalLong firstOffset) implements ReadResult {}

    /** The records from the requested offset on cannot be told from one another. */
    record Corrupt(String reason) implements ReadResult {}

    /** The given position is of an earlier era than the log; an append may have taken effect at the same offset. */
    record Restored() implements ReadResult, AppendResult {}

    /** The record was appended at this offset; of several records, the first one. */
    record Appended(long offset) implements AppendResult {}

    /** The topic ends at another offset; nothing was appended. */
    record EndMoved() implements AppendResult {}

    /** There was no response; the record may have been appended already, or may be appended seconds later. */
    record OutcomeUnknown(String reason) implements AppendResult {}

    /** The call failed; if it was an append, nothing was appended. */
    record Unavailable(String reason) implements LatestResult, ReadResult, AppendResult {}
}
