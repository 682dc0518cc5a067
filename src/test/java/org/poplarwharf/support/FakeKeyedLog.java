package org.poplarwharf.support;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.poplarwharf.internal.topic.KeyedLog;

/**
 * An in-memory log with a single topic. A test can make it unavailable, reject appends, lose responses, delay an append or
 * restore the log.
 */
public final class FakeKeyedLog implements KeyedLog {
    public boolean unavailable;
    public boolean rejectAppends;
    public boolean loseNextResponse;

    /** The next append gets no response, and is carried out when the one after it that is not rejected arrives. */
    public boolean delayNextAppend;

    private final List<KeyedRecord> records = new ArrayList<>();
    private Optional<KeyedRecord> delayedAppend = Optional.empty();
    private long era = 1;

    public int recordCount() {
        return records.size();
    }

    /** Appends a record, as another writer does; an empty value deletes the key. */
    public void put(String key, String value) {
        records.add(new KeyedRecord(records.size(), key, value.getBytes(StandardCharsets.UTF_8)));
    }

    /** Returns the latest value of each key. */
    public Map<String, String> latestValues() {
        Map<String, String> values = new TreeMap<>();
        records.forEach(record -> values.put(record.key(), new String(record.value(), StandardCharsets.UTF_8)));
        values.values().removeIf(String::isEmpty);
        return values;
    }

    /** Restores a copy that has only the oldest records. */
    public void restore(int recordCount) {
        records.subList(recordCount, records.size()).clear();
        era++;
    }

    @Override
    public void onRestored(RestoreListener listener) {
        throw new UnsupportedOperationException("a lease compares the eras of positions");
    }

    @Override
    public void readLatest(String topic, Optional<String> afterKey, Consumer<LatestResult> callback) {
        if (unavailable) {
            callback.accept(new Unavailable("away"));
            return;
        }
        Map<String, KeyedRecord> newestByKey = new LinkedHashMap<>();
        records.forEach(record -> newestByKey.put(record.key(), record));
        newestByKey.values().removeIf(KeyedRecord::isTombstone);
        callback.accept(new Page(List.copyOf(newestByKey.values()), false, new Position(era, records.size())));
    }

    @Override
    public void read(String topic, Position from, long waitMillis, Consumer<ReadResult> callback) {
        if (unavailable) {
            callback.accept(new Unavailable("away"));
            return;
        }
        if (from.era() != era) {
            callback.accept(new Restored());
            return;
        }
        List<KeyedRecord> remaining = records.subList((int) Math.min(from.offset(), records.size()), records.size());
        callback.accept(new Records(List.copyOf(remaining), new Position(era, records.size()), records.size()));
    }

    @Override
    public void append(String topic, List<Entry> entries, Consumer<AppendResult> callback) {
        throw new UnsupportedOperationException("a lease appends at a known end only");
    }

    @Override
    public void appendAt(String topic, Position end, String key, byte[] value, Consumer<AppendResult> callback) {
        if (unavailable || rejectAppends) {
            callback.accept(new Unavailable("away"));
            return;
        }
        KeyedRecord record = new KeyedRecord(end.offset(), key, value);
        if (delayNextAppend) {
            delayNextAppend = false;
            delayedAppend = Optional.of(record);
            callback.accept(new OutcomeUnknown("delayed"));
            return;
        }
        delayedAppend.filter(delayed -> delayed.offset() == records.size()).ifPresent(records::add);
        delayedAppend = Optional.empty();
        if (end.offset() == records.size()) {
            records.add(record);
        } else if (end.era() == era) {
            callback.accept(new EndMoved());
            return;
        }
        if (end.era() != era) {
            callback.accept(new Restored());
            return;
        }
        boolean responseLost = loseNextResponse;
        loseNextResponse = false;
        callback.accept(responseLost ? new OutcomeUnknown("lost") : new Appended(end.offset()));
    }
}
