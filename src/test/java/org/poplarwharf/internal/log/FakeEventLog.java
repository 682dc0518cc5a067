package org.poplarwharf.internal.log;

import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.reactor.Reactor;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.plugins.EventLog;

/** A log in memory with faults that tests switch on. Belongs to one reactor thread. */
public final class FakeEventLog implements EventLog {
    private static final long POLL_MILLIS = 5;

    private final Reactor reactor;
    private final Random random;
    private final Map<String, Stored> streams = new HashMap<>();

    /** Refuses every call. */
    public boolean outage;

    /** How likely an append takes effect and its answer is lost. */
    public double lostResponseProbability;

    /** How likely an append fails at once and takes effect later. */
    public double lateAppendProbability;

    /** How many records a stream keeps. */
    public int maxRetainedRecords = Integer.MAX_VALUE;

    /** The most records in one page, whatever the reader asks for. */
    public int maxPageRecords = Integer.MAX_VALUE;

    public int appendCallCount;

    private static final class Stored {
        private final List<Entry> entries = new ArrayList<>();
        private long nextOffset;
    }

    public FakeEventLog(Reactor reactor, long seed) {
        this.reactor = reactor;
        this.random = new Random(seed);
    }

    @Override
    public Promise<Long> append(String stream, byte[] payload) {
        appendCallCount++;
        if (outage) {
            return Promise.ofException(Reporter.logUnavailable(stream, 1, null));
        }
        if (random.nextDouble() < lateAppendProbability) {
            reactor.delay(1 + random.nextInt(20), () -> store(stream, payload));
            return Promise.ofException(Reporter.logOutcomeUnknown(stream, null));
        }
        long offset = store(stream, payload);
        if (random.nextDouble() < lostResponseProbability) {
            return Promise.ofException(Reporter.logOutcomeUnknown(stream, null));
        }
        return Promises.delay(reactor, random.nextInt(3), offset);
    }

    /** Stores a payload as another writer would. */
    public long store(String stream, byte[] payload) {
        Stored stored = stored(stream);
        long offset = stored.nextOffset++;
        stored.entries.add(new Entry(offset, payload));
        trim(stream, maxRetainedRecords);
        return offset;
    }

    /** Drops all but the latest records of a stream. */
    public void trim(String stream, int keep) {
        List<Entry> entries = stored(stream).entries;
        if (entries.size() > keep) {
            entries.subList(0, entries.size() - keep).clear();
        }
    }

    /** Drops the records before an offset. */
    public void dropBefore(String stream, long offset) {
        stored(stream).entries.removeIf(entry -> entry.offset() < offset);
    }

    public int size(String stream) {
        return stored(stream).entries.size();
    }

    @Override
    public Promise<Page> read(String stream, long fromOffset, int maxRecords, long waitMillis) {
        if (outage) {
            return Promise.ofException(Reporter.logUnavailable(stream, 1, null));
        }
        Stored stored = stored(stream);
        if (fromOffset == stored.nextOffset && waitMillis > 0) {
            return Promises.delay(reactor, POLL_MILLIS)
                    .then(() -> read(stream, fromOffset, maxRecords, waitMillis - POLL_MILLIS));
        }
        List<Entry> found = stored.entries.stream()
                .filter(entry -> entry.offset() >= fromOffset)
                .limit(Math.min(maxRecords, maxPageRecords))
                .toList();
        long firstOffset = stored.entries.isEmpty()
                ? stored.nextOffset
                : stored.entries.get(0).offset();
        return Promise.of(new Page(firstOffset, stored.nextOffset, found)).async();
    }

    private Stored stored(String stream) {
        return streams.computeIfAbsent(stream, name -> new Stored());
    }
}
