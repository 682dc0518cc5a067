package org.poplarwharf.internal.lease;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.poplarwharf.internal.topic.KeyedLog;

/** One keyed topic in memory, which a test takes away or whose answers it loses. */
final class FakeKeyedLog implements KeyedLog {
    boolean away;
    boolean refusesAppends;
    boolean loseNextAnswer;
    private final List<KeyedRecord> records = new ArrayList<>();

    @Override
    public void newest(String topic, Optional<String> afterKey, Consumer<NewestAnswer> answer) {
        if (away) {
            answer.accept(new Unavailable("away"));
            return;
        }
        Map<String, KeyedRecord> newest = new LinkedHashMap<>();
        records.forEach(record -> newest.put(record.key(), record));
        answer.accept(new Page(List.copyOf(newest.values()), false, records.size()));
    }

    @Override
    public void read(String topic, long fromOffset, long waitMillis, Consumer<ReadAnswer> answer) {
        if (away) {
            answer.accept(new Unavailable("away"));
            return;
        }
        List<KeyedRecord> from = records.subList((int) Math.min(fromOffset, records.size()), records.size());
        answer.accept(new Records(List.copyOf(from), records.size(), records.size()));
    }

    @Override
    public void appendAt(String topic, long endOffset, String key, byte[] value, Consumer<AppendAnswer> answer) {
        if (away || refusesAppends) {
            answer.accept(new Unavailable("away"));
            return;
        }
        if (endOffset != records.size()) {
            answer.accept(new EndMoved());
            return;
        }
        records.add(new KeyedRecord(endOffset, key, value));
        boolean lost = loseNextAnswer;
        loseNextAnswer = false;
        answer.accept(lost ? new OutcomeUnknown("lost") : new Appended(endOffset));
    }
}
