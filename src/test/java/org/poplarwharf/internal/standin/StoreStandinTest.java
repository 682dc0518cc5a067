package org.poplarwharf.internal.standin;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.http.HttpRequest;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.poplarwharf.support.ReactorThread;
import org.poplarwharf.support.TestHttpClient;

class StoreStandinTest {
    private static final long FETCH_BYTES = 10_000;

    private long longestFetchMillis(StoreSettings settings, StoreFaults faults, int fetches) {
        try (ReactorThread thread = new ReactorThread()) {
            TestHttpClient http = new TestHttpClient(thread);
            StoreStandin store =
                    thread.call(() -> StoreStandin.start(thread.reactor(), StandinAddresses.loopback(), settings));
            thread.run(() -> store.faults().set(faults));
            String url = "http://" + store.address() + "/fetch?bytes=" + FETCH_BYTES;
            thread.await(() -> {
                List<Promise<TestHttpClient.Response>> responses = IntStream.range(0, fetches)
                        .mapToObj(i -> http.sendAsync(HttpRequest.get(url).build()))
                        .toList();
                return Promises.all(responses);
            });
            List<StoreEvent> events = thread.call(() -> store.journal().events());
            thread.run(store::stop);
            return events.stream()
                    .mapToLong(event -> event instanceof StoreEvent.Finished finished ? finished.tookMillis() : 0)
                    .max()
                    .orElseThrow();
        }
    }

    @Test
    void fetches_beyond_the_full_speed_limit_share_bandwidth() {
        StoreSettings settings = new StoreSettings(1_000_000, 2, 200_000);

        long uncontendedMillis = Long.MAX_VALUE;
        for (int attempt = 0; attempt < 10 && uncontendedMillis >= 95; attempt++) {
            uncontendedMillis = longestFetchMillis(settings, StoreFaults.none(), 2);
        }
        assertThat(uncontendedMillis).isBetween(45L, 95L);
        assertThat(longestFetchMillis(settings, StoreFaults.none(), 6)).isGreaterThanOrEqualTo(140);
    }

    @Test
    void slow_down_factor_lengthens_each_fetch() {
        StoreSettings settings = new StoreSettings(1_000_000, 2, 200_000);

        assertThat(longestFetchMillis(settings, new StoreFaults(false, 4), 1)).isGreaterThanOrEqualTo(190);
    }

    @Test
    void fetches_start_at_the_configured_rate() {
        StoreSettings settings = new StoreSettings(20, 10, 1e12);
        long startNanos = System.nanoTime();

        longestFetchMillis(settings, StoreFaults.none(), 4);

        assertThat((System.nanoTime() - startNanos) / 1_000_000).isGreaterThanOrEqualTo(145);
    }
}
