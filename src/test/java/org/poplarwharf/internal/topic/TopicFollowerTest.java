package org.poplarwharf.internal.topic;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

class TopicFollowerTest {
    private final ScriptedLog log = new ScriptedLog();
    private final TreeMap<String, String> seen = new TreeMap<>();
    private final List<String> events = new ArrayList<>();
    private final Deque<Runnable> tasks = new ArrayDeque<>();
    private final TopicFollower follower = new TopicFollower(
            "t", log, new TopicFollower.Pace(10, 0, 10, 100), (delay, task) -> tasks.add(task), new Recorder());

    @Test
    void reads_a_snapshot_in_pages_and_then_what_follows() {
        log.pages.add(new KeyedLog.Page(List.of(record(3, "a", "1")), true, 7));
        log.pages.add(new KeyedLog.Page(List.of(record(6, "b", "2")), false, 9));
        log.reads.add(new KeyedLog.Records(List.of(record(7, "a", "3")), 8, 8));
        follower.start();
        step();

        assertThat(seen).containsEntry("a", "3").containsEntry("b", "2");
        assertThat(log.readFrom).containsExactly(7L);
        assertThat(events).containsExactly("caught up");
    }

    @Test
    void a_key_that_a_fresh_snapshot_lacks_is_dropped() {
        log.pages.add(new KeyedLog.Page(List.of(record(1, "a", "1"), record(2, "b", "2")), false, 3));
        log.reads.add(new KeyedLog.Trimmed());
        log.pages.add(new KeyedLog.Page(List.of(record(2, "b", "2")), false, 9));
        follower.start();
        step();

        assertThat(seen).containsOnlyKeys("b");
    }

    @Test
    void a_snapshot_older_than_what_is_known_changes_nothing() {
        log.pages.add(new KeyedLog.Page(List.of(record(5, "a", "new")), false, 6));
        log.reads.add(new KeyedLog.Trimmed());
        log.pages.add(new KeyedLog.Page(List.of(record(2, "a", "old")), false, 3));
        log.pages.add(new KeyedLog.Page(List.of(record(5, "a", "new")), false, 8));
        follower.start();
        step();
        assertThat(seen).containsEntry("a", "new");
        step();

        assertThat(seen).containsEntry("a", "new");
        assertThat(log.pages).isEmpty();
    }

    @Test
    void an_outage_is_told_once_and_its_end_once() {
        log.pages.add(new KeyedLog.Unavailable("away"));
        log.pages.add(new KeyedLog.Unavailable("away"));
        log.pages.add(new KeyedLog.Page(List.of(), false, 0));
        follower.start();
        step();
        step();

        assertThat(events).containsExactly("away", "back", "caught up");
    }

    @Test
    void a_record_without_a_value_drops_its_key() {
        log.pages.add(new KeyedLog.Page(List.of(record(1, "a", "1")), false, 2));
        log.reads.add(new KeyedLog.Records(List.of(record(2, "a", "")), 3, 3));
        follower.start();
        step();

        assertThat(seen).isEmpty();
    }

    @Test
    void a_listener_that_fails_on_one_record_hears_the_next() {
        log.pages.add(new KeyedLog.Page(List.of(), false, 0));
        log.reads.add(new KeyedLog.Records(List.of(record(0, "bad", "1")), 1, 1));
        log.reads.add(new KeyedLog.Records(List.of(record(1, "a", "2")), 2, 2));
        follower.start();
        assertThatThrownBy(this::step).isInstanceOf(IllegalStateException.class);
        step();

        assertThat(seen).containsEntry("a", "2");
    }

    private void step() {
        tasks.remove().run();
    }

    private static KeyedLog.KeyedRecord record(long offset, String key, String value) {
        return new KeyedLog.KeyedRecord(offset, key, value.getBytes());
    }

    private final class Recorder implements TopicFollower.Listener {
        @Override
        public void put(String key, byte[] value) {
            if (key.equals("bad")) {
                throw new IllegalStateException("a fault of the listener");
            }
            seen.put(key, new String(value));
        }

        @Override
        public void drop(String key) {
            seen.remove(key);
        }

        @Override
        public void caughtUp() {
            events.add("caught up");
        }

        @Override
        public void reachable(boolean reachable, String reason) {
            events.add(reachable ? "back" : "away");
        }
    }

    /** Answers in the order that a test wrote down; answers nothing once that is used up. */
    private static final class ScriptedLog implements KeyedLog {
        private final Deque<NewestAnswer> pages = new ArrayDeque<>();
        private final Deque<ReadAnswer> reads = new ArrayDeque<>();
        private final List<Long> readFrom = new ArrayList<>();

        @Override
        public void newest(String topic, Optional<String> afterKey, Consumer<NewestAnswer> answer) {
            if (!pages.isEmpty()) {
                answer.accept(pages.remove());
            }
        }

        @Override
        public void read(String topic, long fromOffset, long waitMillis, Consumer<ReadAnswer> answer) {
            if (!reads.isEmpty()) {
                readFrom.add(fromOffset);
                answer.accept(reads.remove());
            }
        }

        @Override
        public void appendAt(String topic, long endOffset, String key, byte[] value, Consumer<AppendAnswer> answer) {
            throw new UnsupportedOperationException("a follower appends nothing");
        }
    }
}
