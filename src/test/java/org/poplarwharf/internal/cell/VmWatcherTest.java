package org.poplarwharf.internal.cell;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.promise.Promise;
import java.util.List;
import org.junit.jupiter.api.Test;

class VmWatcherTest {
    private static final long MINUTE_MILLIS = 60_000;
    private static final long TICK_MILLIS = 50;

    private int fetches;
    private final VmWatcher watcher = new VmWatcher(() -> {
        fetches++;
        return Promise.of(List.of());
    });

    @Test
    void a_follower_fetches_the_list_seldom_and_a_new_holder_at_once_and_often() {
        watcher.holding(false);
        tickThrough(0, MINUTE_MILLIS);
        assertThat(fetches).isBetween(6, 20);

        fetches = 0;
        long beginsMillis = MINUTE_MILLIS + 1_000;
        watcher.holding(true);
        watcher.tick(beginsMillis);
        assertThat(fetches).isEqualTo(1);
        tickThrough(beginsMillis, beginsMillis + MINUTE_MILLIS);
        assertThat(fetches).isBetween(50, 61);
    }

    private void tickThrough(long fromMillis, long toMillis) {
        for (long nowMillis = fromMillis; nowMillis < toMillis; nowMillis += TICK_MILLIS) {
            watcher.tick(nowMillis);
        }
    }
}
