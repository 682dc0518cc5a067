package org.poplarwharf.internal.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.poplarwharf.plugins.EventLog;

/**
 * The records of one stream.
 *
 * <p>Invariant: offsets are consecutive from 0 and never reused. Belongs to one reactor thread.
 */
final class LogStream {
    private final Deque<Stored> stored = new ArrayDeque<>();
    private final List<Runnable> waiting = new ArrayList<>();
    private long nextOffset;

    long append(byte[] payload, long nowMillis) {
        long offset = nextOffset++;
        stored.addLast(new Stored(offset, nowMillis, payload));
        List<Runnable> woken = List.copyOf(waiting);
        waiting.clear();
        woken.forEach(Runnable::run);
        return offset;
    }

    void expire(long oldestMillis, int maxRecords) {
        while (!stored.isEmpty()
                && (stored.size() > maxRecords || stored.getFirst().atMillis() < oldestMillis)) {
            stored.removeFirst();
        }
    }

    EventLog.Page page(long fromOffset, int maxRecords) {
        List<EventLog.Entry> entries = new ArrayList<>();
        for (Stored record : stored) {
            if (record.offset() < fromOffset) {
                continue;
            }
            if (entries.size() == maxRecords) {
                break;
            }
            entries.add(new EventLog.Entry(record.offset(), record.payload()));
        }
        long firstOffset = stored.isEmpty() ? nextOffset : stored.getFirst().offset();
        return new EventLog.Page(firstOffset, nextOffset, entries);
    }

    void whenAppended(Runnable listener) {
        waiting.add(listener);
    }

    void forget(Runnable listener) {
        waiting.remove(listener);
    }

    private record Stored(long offset, long atMillis, byte[] payload) {}
}
