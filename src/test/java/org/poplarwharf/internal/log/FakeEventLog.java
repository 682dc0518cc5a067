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

/** An in-memory event log with fault injection. Confined to one reactor thread. */
public final class FakeEventLog implements EventLog {
    private static final long POLL_INTERVAL_MILLIS = 5;

    private final Reactor reactor;
    private final Random random;
    private final Map<String, StoredStream> streams = new HashMap<>();

    /** Whether every call fails as unavailable. */
    public boolean outage;

    /** The probability that an append takes effect but its response is lost. */
    public double lostResponseProbability;

    /** The probability that an append fails immediately and takes effect later. */
    public double lateAppendProbability;

    /** The maximum number of entries that a stream retains. */
    public int maxRetainedRecords = Integer.MAX_VALUE;

    /** The maximum number of entries in one page, regardless of what the reader requests. */
    public int maxPageRecords = Integer.MAX_VALUE;

    public int appendCallCount;

    private static final class StoredStream {
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

    /** Appends a payload immediately and without faults, as if by another writer. */
    public long store(String stream, byte[] payload) {
        StoredStream storedStream = storedStream(stream);
        long offset = storedStream.nextOffset++;
        storedStream.entries.add(new Entry(offset, payload));
        trim(stream, maxRetainedRecords);
        return offset;
    }

    /** Deletes all but the latest entries of a stream. */
    public void trim(String stream, int retainedCount) {
        List<Entry> entries = storedStream(stream).entries;
        if (entries.size() > retainedCount) {
            entries.subList(0, entries.size() - retainedCount).clear();
        }
    }

    /** Deletes the entries before an offset. */
    public void dropBefore(String stream, long offset) {
        storedStream(stream).entries.removeIf(entry -> entry.offset() < offset);
    }

    public int size(String stream) {
        return storedStream(stream).entries.size();
    }

    @Override
    public Promise<Page> read(String stream, long fromOffset, int maxRecords, long waitMillis) {
        if (outage) {
            return Promise.ofException(Reporter.logUnavailable(stream, 1, null));
        }
        StoredStream storedStream = storedStream(stream);
        if (fromOffset == storedStream.nextOffset && waitMillis > 0) {
            return Promises.delay(reactor, POLL_INTERVAL_MILLIS)
                    .then(() -> read(stream, fromOffset, maxRecords, waitMillis - POLL_INTERVAL_MILLIS));
        }
        List<Entry> entries = storedStream.entries.stream()
                .filter(entry -> entry.offset() >= fromOffset)
                .limit(Math.min(maxRecords, maxPageRecords))
                .toList();
        long firstOffset = storedStream.entries.isEmpty()
                ? storedStream.nextOffset
                : storedStream.entries.get(0).offset();
        return Promise.of(new Page(firstOffset, storedStream.nextOffset, entries))
                .async();
    }

    private StoredStream storedStream(String stream) {
        return streams.computeIfAbsent(stream, name -> new StoredStream());
    }
}
