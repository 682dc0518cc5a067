package org.poplarwharf.internal.topic;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.poplarwharf.support.FakeKeyedLog;

/** A follower ends with what the log holds, whatever it had read before the log was restored. */
class TopicRestorePropertyTest {
    private static final int STEP_COUNT = 60;
    private static final int KEY_COUNT = 4;

    @Property(tries = 300)
    void follower_ends_with_the_latest_values_of_the_log_after_any_history_of_restores(@ForAll long seed) {
        Random random = new Random(seed);
        FakeKeyedLog log = new FakeKeyedLog();
        Deque<Runnable> tasks = new ArrayDeque<>();
        Map<String, String> followed = new TreeMap<>();
        new TopicFollower(
                        "t",
                        log,
                        new TopicFollower.PollTimings(10, 0, 10, 10),
                        (delay, task) -> tasks.add(task),
                        new CopyingListener(followed))
                .start();
        for (int step = 0; step < STEP_COUNT; step++) {
            switch (random.nextInt(6)) {
                case 0 -> log.restore(random.nextInt(log.recordCount() + 1));
                case 1 -> log.put("k" + random.nextInt(KEY_COUNT), "");
                case 2, 3 -> log.put("k" + random.nextInt(KEY_COUNT), "v" + step);
                default -> tasks.remove().run();
            }
        }
        for (int i = 0; i < 4; i++) {
            tasks.remove().run();
        }

        assertThat(followed).isEqualTo(log.latestValues());
    }

    private record CopyingListener(Map<String, String> values) implements TopicFollower.Listener {
        @Override
        public void onUpdated(String key, byte[] value) {
            values.put(key, new String(value, StandardCharsets.UTF_8));
        }

        @Override
        public void onRemoved(String key) {
            values.remove(key);
        }

        @Override
        public void onCaughtUp() {
            // The test compares the values at the end.
        }

        @Override
        public void onRestored() {
            // The follower itself reports each difference to the restored copy.
        }

        @Override
        public void onReachabilityChanged(boolean reachable, String reason) {
            // The log is always reachable.
        }
    }
}
