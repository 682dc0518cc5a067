package org.poplarwharf.internal.standin;

import io.activej.dns.DnsClient;
import io.activej.http.HttpClient;
import io.activej.http.HttpRequest;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.net.InetAddress;
import java.util.Optional;
import org.poplarwharf.FailureCode;
import org.poplarwharf.internal.failure.Reporter;

/**
 * Fetches weights from a weight store stand-in and estimates its speed. Confined to one reactor thread.
 */
final class WeightStoreClient {
    private static final int STATUS_OK = 200;
    private static final double INITIAL_EXPECTED_BYTES_PER_SECOND = 2e9;
    private static final long MIN_SPEED_SAMPLE_BYTES = 1_000_000_000;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Optional<String> storeAddress;
    private final HttpClient client;
    private double expectedBytesPerSecond = INITIAL_EXPECTED_BYTES_PER_SECOND;

    WeightStoreClient(NioReactor reactor, Optional<String> storeAddress) {
        this.storeAddress = storeAddress;
        DnsClient dns = DnsClient.create(reactor, InetAddress.getLoopbackAddress());
        client = HttpClient.builder(reactor, dns).withNoKeepAlive().build();
    }

    /** Returns the speed of the last fetch of at least 1 GB, or an initial estimate before the first one. */
    double expectedBytesPerSecond() {
        return expectedBytesPerSecond;
    }

    /** Fetches a number of bytes; fails if the store reports an outage. */
    Promise<Void> fetch(long sizeBytes) {
        String url = "http://" + storeAddress.orElseThrow() + "/fetch?bytes=" + sizeBytes;
        long startNanos = System.nanoTime();
        return client.request(HttpRequest.get(url).build()).then(response -> {
            if (response.getCode() == STATUS_OK) {
                recordSpeed(sizeBytes, System.nanoTime() - startNanos);
                return Promise.complete();
            }
            return Promise.ofException(Reporter.failure(
                    FailureCode.TARGET_FAILED,
                    "The weight store responded with status " + response.getCode() + ".",
                    "An outage fault is active.",
                    "Order the load again.",
                    null));
        });
    }

    private void recordSpeed(long sizeBytes, long nanos) {
        if (sizeBytes >= MIN_SPEED_SAMPLE_BYTES) {
            expectedBytesPerSecond = sizeBytes * NANOS_PER_SECOND / Math.max(1, nanos);
        }
    }
}
