package org.poplarwharf.internal.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.poplarwharf.plugins.EventLog;

/**
 * The records of one stream of the log stand-in.
 *
 * <p>Invariant: offsets are consecutive from 0 and never reused. Confined to one reactor thread.
 */
final class LogStream {
    private final Deque<StoredRecord> records = new ArrayDeque<>();
    private final List<Runnable> appendListeners = new ArrayList<>();
    private long nextOffset;

    /** Appends a record, runs all append listeners once, and returns the record's offset. */
    long append(byte[] payload, long nowMillis) {
        long offset = nextOffset++;
        records.addLast(new StoredRecord(offset, nowMillis, payload));
        List<Runnable> notified = List.copyOf(appendListeners);
        appendListeners.clear();
        notified.forEach(Runnable::run);
        return offset;
    }

    /** Drops records that are older than a time or exceed a count. */
    void expire(long minTimeMillis, int maxRecords) {
        while (!records.isEmpty()
                && (records.size() > maxRecords || records.getFirst().atMillis() < minTimeMillis)) {
            records.removeFirst();
        }
    }

    EventLog.Page page(long fromOffset, int maxRecords) {
        List<EventLog.Entry> entries = new ArrayList<>();
        for (StoredRecord record : records) {
            if (record.offset() < fromOffset) {
                continue;
            }
            if (entries.size() == maxRecords) {
                break;
            }
            entries.add(new EventLog.Entry(record.offset(), record.payload()));
        }
        long firstOffset = records.isEmpty() ? nextOffset : records.getFirst().offset();
        return new EventLog.Page(firstOffset, nextOffset, entries);
    }

    /** Adds a listener for the next append only. */
    void addAppendListener(Runnable listener) {
        appendListeners.add(listener);
    }

    void removeAppendListener(Runnable listener) {
        appendListeners.remove(listener);
    }

    private record StoredRecord(long offset, long atMillis, byte[] payload) {}
}
