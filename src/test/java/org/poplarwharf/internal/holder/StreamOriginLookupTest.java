package org.poplarwharf.internal.holder;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.dispatch.DispatchRequest;
import org.poplarwharf.internal.fleet.RequestTraits;
import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.stream.StreamContinuation;
import org.poplarwharf.internal.stream.StreamOrigin;
import org.poplarwharf.internal.stream.StreamOrigins;
import org.poplarwharf.internal.topic.KeyedLog;

/** Looks up streams on a log whose responses the test gives. */
class StreamOriginLookupTest {
    private static final long REPEAT_INTERVAL_MILLIS = 5_000;
    private static final long INTERVAL_MILLIS = 500;

    private long nowMillis = 10_000;
    private boolean holding;
    private final PendingReads platformLog = new PendingReads();
    private final StreamOrigins origins = new StreamOrigins(() -> nowMillis, service -> Optional.empty());
    private final StreamOriginLookup lookup = new StreamOriginLookup(
            origins,
            platformLog,
            () -> nowMillis,
            new DecisionLog("n", "z", new PrintStream(OutputStream.nullOutputStream())),
            () -> holding);

    private Optional<String> versionOf(String streamId) {
        return lookup.resolve(resumption(streamId)).continuation().orElseThrow().softwareVersion();
    }

    private static DispatchRequest resumption(String streamId) {
        RequestTraits traits = new RequestTraits(
                "r",
                OptionalLong.empty(),
                Optional.of("m"),
                Optional.empty(),
                10,
                10,
                List.of(),
                OptionalLong.empty(),
                Optional.empty());
        return new DispatchRequest(
                "k",
                "z",
                "lm",
                traits,
                0,
                20_000,
                10_500,
                false,
                Set.of(),
                Optional.of(new StreamContinuation(streamId, Optional.empty())),
                Optional.empty(),
                0);
    }

    private static KeyedLog.KeyedRecord record(long offset, int slot, StreamOrigin... recorded) {
        return new KeyedLog.KeyedRecord(
                offset, StreamOriginRing.KEY_PREFIX + slot, StreamOriginRing.encode(List.of(recorded)));
    }

    @Test
    void versions_on_all_pages_of_the_log_are_found() {
        assertThat(versionOf("s1")).isEmpty();
        platformLog.respond(true, record(0, 0, new StreamOrigin("s1", "lm", "a")));
        platformLog.respond(false, record(1, 1, new StreamOrigin("s2", "lm", "b")));

        assertThat(versionOf("s1")).contains("a");
        assertThat(versionOf("s2")).contains("b");
        assertThat(versionOf("s3")).isEmpty();
    }

    @Test
    void version_of_a_stream_of_another_service_stays_unknown() {
        assertThat(versionOf("s1")).isEmpty();
        platformLog.respond(false, record(0, 0, new StreamOrigin("s1", "desk", "a")));

        assertThat(versionOf("s1")).isEmpty();
    }

    @Test
    void id_that_began_two_streams_gets_the_version_of_the_later_one() {
        assertThat(versionOf("s1")).isEmpty();
        platformLog.respond(
                false,
                record(9, 0, new StreamOrigin("s1", "lm", "b")),
                record(8, 1, new StreamOrigin("s1", "lm", "a")));

        assertThat(versionOf("s1")).contains("b");
    }

    @Test
    void unknown_ids_cause_one_read_at_a_time_and_one_in_each_interval() {
        for (int i = 0; i < 100; i++) {
            assertThat(versionOf("made-up" + i)).isEmpty();
        }
        assertThat(platformLog.readCount).isEqualTo(1);
        nowMillis += 2 * REPEAT_INTERVAL_MILLIS;
        versionOf("during the read");
        assertThat(platformLog.readCount).isEqualTo(1);
        platformLog.respond(false);
        versionOf("after the read");
        assertThat(platformLog.readCount).isEqualTo(1);
        nowMillis += REPEAT_INTERVAL_MILLIS;
        versionOf("after the interval");
        versionOf("again");
        assertThat(platformLog.readCount).isEqualTo(2);
    }

    @Test
    void read_that_failed_leaves_the_version_unknown_and_is_repeated() {
        assertThat(versionOf("s1")).isEmpty();
        assertThat(lookup.readFor(resumption("s1"))).isPresent();
        platformLog.fail();
        assertThat(lookup.readFor(resumption("s1"))).isEmpty();
        assertThat(versionOf("s1")).isEmpty();
        nowMillis += INTERVAL_MILLIS;
        assertThat(versionOf("s1")).isEmpty();
        platformLog.respond(false, record(0, 0, new StreamOrigin("s1", "lm", "a")));

        assertThat(versionOf("s1")).contains("a");
    }

    @Test
    void node_that_has_become_the_holder_does_not_record_again_what_it_reads() {
        assertThat(versionOf("s1")).isEmpty();
        holding = true;
        platformLog.respond(false, record(0, 0, new StreamOrigin("s1", "lm", "a")));

        assertThat(origins.find("s1")).isEmpty();
    }

    @Test
    void record_with_null_in_it_does_not_hide_the_other_records() {
        versionOf("s1");
        platformLog.respond(
                false,
                new KeyedLog.KeyedRecord(0, StreamOriginRing.KEY_PREFIX + 0, "null".getBytes(StandardCharsets.UTF_8)),
                record(1, 1, new StreamOrigin("s1", "lm", "a")));

        assertThat(versionOf("s1")).contains("a");
    }

    /** A log that responds to a read when the test says so. */
    private static final class PendingReads implements KeyedLog {
        private final Deque<Consumer<LatestResult>> callbacks = new ArrayDeque<>();
        private int readCount;

        void respond(boolean more, KeyedRecord... records) {
            callbacks.remove().accept(new Page(List.of(records), more, new Position(1, 10)));
        }

        void fail() {
            callbacks.remove().accept(new Unavailable("503"));
        }

        @Override
        public void readLatest(String topic, Optional<String> afterKey, Consumer<LatestResult> callback) {
            readCount++;
            callbacks.add(callback);
        }

        @Override
        public void read(String topic, Position from, long waitMillis, Consumer<ReadResult> callback) {
            throw new UnsupportedOperationException("the lookup reads the latest records");
        }

        @Override
        public void append(String topic, List<Entry> entries, Consumer<AppendResult> callback) {
            throw new UnsupportedOperationException("only the holder appends");
        }

        @Override
        public void appendAt(String topic, Position end, String key, byte[] value, Consumer<AppendResult> callback) {
            throw new UnsupportedOperationException("only the holder appends");
        }

        @Override
        public void onRestored(RestoreListener listener) {
            throw new UnsupportedOperationException("a restore is handled elsewhere");
        }
    }
}
