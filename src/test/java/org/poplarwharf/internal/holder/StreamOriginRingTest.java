package org.poplarwharf.internal.holder;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.stream.StreamOrigin;
import org.poplarwharf.internal.topic.KeyedLog;

/** Appends origins of streams to a log that checks its limits. */
class StreamOriginRingTest {
    private static final int MAX_RECORD_BYTES = 262_144;
    private static final int MAX_CALL_BYTES = 2_097_152;
    private static final int KEY_COUNT = 128;

    private final LatestRecords platformLog = new LatestRecords();
    private final StreamOriginRing ring = new StreamOriginRing(
            "streams", platformLog, new DecisionLog("n", "z", new PrintStream(OutputStream.nullOutputStream())));

    private Set<String> recordedIds() {
        Set<String> ids = new HashSet<>();
        platformLog
                .values
                .values()
                .forEach(value -> StreamOriginRing.decode(value).forEach(origin -> ids.add(origin.streamId())));
        return ids;
    }

    @Test
    void many_origins_are_appended_within_the_limits_of_the_log() {
        String suffix = "ü".repeat(100);
        for (int i = 0; i < 50_000; i++) {
            ring.add(new StreamOrigin(i + suffix, "lm", i % 2 == 0 ? "a" : "b"));
        }
        for (int i = 0; i < 20; i++) {
            ring.append();
        }

        assertThat(recordedIds()).hasSize(50_000);
    }

    @Test
    void number_of_keys_is_bounded_and_the_newest_origins_stay() {
        for (int i = 0; i < 3 * KEY_COUNT; i++) {
            ring.add(new StreamOrigin("s" + i, "lm", "a"));
            ring.append();
        }

        assertThat(platformLog.values).hasSize(KEY_COUNT);
        assertThat(recordedIds()).contains("s" + (3 * KEY_COUNT - 1)).contains("s" + 2 * KEY_COUNT);
    }

    @Test
    void newest_records_of_an_earlier_holder_are_replaced_last() {
        ring.continueAfter("origins-" + (KEY_COUNT - 2));
        ring.add(new StreamOrigin("s1", "lm", "a"));
        ring.append();
        ring.add(new StreamOrigin("s2", "lm", "a"));
        ring.append();

        assertThat(platformLog.values).containsOnlyKeys("origins-" + (KEY_COUNT - 1), "origins-0");
    }

    @Test
    void origins_whose_append_failed_are_appended_again() {
        ring.add(new StreamOrigin("s1", "lm", "a"));
        platformLog.unavailable = true;
        ring.append();
        platformLog.unavailable = false;
        ring.add(new StreamOrigin("s2", "lm", "b"));
        ring.append();

        assertThat(recordedIds()).containsExactlyInAnyOrder("s1", "s2");
    }

    @Test
    void record_of_another_release_holds_no_origins() {
        assertThat(StreamOriginRing.decode(new byte[] {1, 2})).isEmpty();
    }

    /** Keeps the latest value of each key. */
    private static final class LatestRecords implements KeyedLog {
        private final Map<String, byte[]> values = new LinkedHashMap<>();
        private boolean unavailable;

        @Override
        public void append(String topic, List<Entry> entries, Consumer<AppendResult> callback) {
            if (unavailable) {
                callback.accept(new Unavailable("503"));
                return;
            }
            List<Integer> sizes = new ArrayList<>();
            entries.forEach(entry -> sizes.add(entry.value().length));
            assertThat(sizes).allMatch(bytes -> bytes < MAX_RECORD_BYTES);
            assertThat(sizes.stream().mapToInt(Integer::intValue).sum()).isLessThan(MAX_CALL_BYTES);
            entries.forEach(entry -> values.put(entry.key(), entry.value()));
            callback.accept(new Appended(0));
        }

        @Override
        public void appendAt(String topic, Position end, String key, byte[] value, Consumer<AppendResult> callback) {
            throw new UnsupportedOperationException("origins are appended wherever the topic ends");
        }

        @Override
        public void onRestored(RestoreListener listener) {
            throw new UnsupportedOperationException("a restore is handled elsewhere");
        }

        @Override
        public void readLatest(String topic, Optional<String> afterKey, Consumer<LatestResult> callback) {
            throw new UnsupportedOperationException("the ring only writes");
        }

        @Override
        public void read(String topic, Position from, long waitMillis, Consumer<ReadResult> callback) {
            throw new UnsupportedOperationException("the ring only writes");
        }
    }
}
