package org.poplarwharf.internal.topic;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A log whose topics keep the newest record of each key. A record without a value drops its key.
 *
 * <p>Answers come on the caller's event loop, exactly one for each call.
 */
public interface KeyedLog {
    /** Asks for the newest record of each key, a page at a time, in no single moment. */
    void newest(String topic, Optional<String> afterKey, Consumer<NewestAnswer> answer);

    /** Asks for the records from an offset on; waits for one for at most the given milliseconds. */
    void read(String topic, long fromOffset, long waitMillis, Consumer<ReadAnswer> answer);

    /** Appends a record if the topic ends at the given offset. */
    void appendAt(String topic, long endOffset, String key, byte[] value, Consumer<AppendAnswer> answer);

    /** One record. */
    record KeyedRecord(long offset, String key, byte[] value) {
        /** Tells whether the record drops its key. */
        public boolean drops() {
            return value.length == 0;
        }
    }

    /** The answer to {@link #newest}. */
    sealed interface NewestAnswer permits Page, Unavailable {}

    /** The answer to {@link #read}. */
    sealed interface ReadAnswer permits Records, Trimmed, Unavailable {}

    /** The answer to {@link #appendAt}. */
    sealed interface AppendAnswer permits Appended, EndMoved, OutcomeUnknown, Unavailable {}

    /** A page of newest records; the topic ended at {@code endOffset} when it was made. */
    record Page(List<KeyedRecord> records, boolean more, long endOffset) implements NewestAnswer {}

    /** Records in order; the next one has {@code nextOffset}. */
    record Records(List<KeyedRecord> records, long nextOffset, long endOffset) implements ReadAnswer {}

    /** The records from the wanted offset on are no longer kept. */
    record Trimmed() implements ReadAnswer {}

    /** The record stands at this offset. */
    record Appended(long offset) implements AppendAnswer {}

    /** The topic ends elsewhere; nothing was appended. */
    record EndMoved() implements AppendAnswer {}

    /** No answer came; the record may be appended now or seconds later. */
    record OutcomeUnknown(String reason) implements AppendAnswer {}

    /** The log did nothing. */
    record Unavailable(String reason) implements NewestAnswer, ReadAnswer, AppendAnswer {}
}
