package org.poplarwharf.internal.cell;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.promise.Promise;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Checks how often the VM list is fetched. Only a lease holder acts on it immediately, so other nodes fetch it less
 * often.
 */
class VmListPollerTest {
    private static final long MINUTE_MILLIS = 60_000;
    private static final long TICK_MILLIS = 50;

    private int fetchCount;
    private final VmListPoller poller = new VmListPoller(() -> {
        fetchCount++;
        return Promise.of(List.of());
    });

    @Test
    void follower_fetches_rarely_and_new_holder_fetches_immediately_and_often() {
        poller.setHolder(false);
        tickThrough(0, MINUTE_MILLIS);
        assertThat(fetchCount).isBetween(6, 20);

        fetchCount = 0;
        long holderSinceMillis = MINUTE_MILLIS + 1_000;
        poller.setHolder(true);
        poller.tick(holderSinceMillis);
        assertThat(fetchCount).isEqualTo(1);
        tickThrough(holderSinceMillis, holderSinceMillis + MINUTE_MILLIS);
        assertThat(fetchCount).isBetween(50, 61);
    }

    private void tickThrough(long fromMillis, long toMillis) {
        for (long nowMillis = fromMillis; nowMillis < toMillis; nowMillis += TICK_MILLIS) {
            poller.tick(nowMillis);
        }
    }
}
