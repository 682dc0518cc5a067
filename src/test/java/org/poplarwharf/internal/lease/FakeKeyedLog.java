package org.poplarwharf.internal.lease;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.poplarwharf.internal.topic.KeyedLog;

/** An in-memory log with a single topic. A test can make it unavailable, reject appends or lose responses. */
final class FakeKeyedLog implements KeyedLog {
    boolean unavailable;
    boolean rejectAppends;
    boolean loseNextResponse;
    private final List<KeyedRecord> records = new ArrayList<>();

    @Override
    public void readLatest(String topic, Optional<String> afterKey, Consumer<LatestResult> callback) {
        if (unavailable) {
            callback.accept(new Unavailable("away"));
            return;
        }
        Map<String, KeyedRecord> newestByKey = new LinkedHashMap<>();
        records.forEach(record -> newestByKey.put(record.key(), record));
        callback.accept(new Page(List.copyOf(newestByKey.values()), false, records.size()));
    }

    @Override
    public void read(String topic, long fromOffset, long waitMillis, Consumer<ReadResult> callback) {
        if (unavailable) {
            callback.accept(new Unavailable("away"));
            return;
        }
        List<KeyedRecord> remaining = records.subList((int) Math.min(fromOffset, records.size()), records.size());
        callback.accept(new Records(List.copyOf(remaining), records.size(), records.size()));
    }

    @Override
    public void append(String topic, List<Entry> entries, Consumer<AppendResult> callback) {
        throw new UnsupportedOperationException("a lease appends at a known end only");
    }

    @Override
    public void appendAt(String topic, long endOffset, String key, byte[] value, Consumer<AppendResult> callback) {
        if (unavailable || rejectAppends) {
            callback.accept(new Unavailable("away"));
            return;
        }
        if (endOffset != records.size()) {
            callback.accept(new EndMoved());
            return;
        }
        records.add(new KeyedRecord(endOffset, key, value));
        boolean responseLost = loseNextResponse;
        loseNextResponse = false;
        callback.accept(responseLost ? new OutcomeUnknown("lost") : new Appended(endOffset));
    }
}
