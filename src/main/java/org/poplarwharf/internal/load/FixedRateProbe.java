package org.poplarwharf.internal.load;

import io.activej.dns.DnsClient;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.promise.Promise;
import java.net.InetAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;
import org.poplarwharf.internal.response.VerifyingSocketInspector;

/**
 * Measures the latency of several URLs by sending {@code GET} requests to them in turn, each at the same fixed rate.
 *
 * <p>Latencies count from the time at which a request was due. A stall of the sender therefore appears in the results
 * (no coordinated omission). An instance is used for one run. The requests run on an event loop thread of the probe; only
 * that thread accesses the statistics until all requests have ended.
 */
public final class FixedRateProbe {
    private static final int STATUS_OK = 200;
    private static final long NANOS_PER_MICRO = 1_000;
    /** Upper limit of one park, so that a late wakeup delays a request only slightly. */
    private static final long MAX_PARK_NANOS = 20_000;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final int HISTOGRAM_SIGNIFICANT_DIGITS = 3;
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(10);

    private final List<EndpointStats> stats;
    private final double intervalNanos;
    private final long warmUpRequests;
    private final long totalRequests;
    private final Eventloop eventloop = Eventloop.builder().build();
    private final HttpClient client;
    private final CompletableFuture<List<EndpointResult>> allEnded = new CompletableFuture<>();
    private long endedRequests;

    /** A named URL to measure. Immutable and thread-safe. */
    public record Endpoint(String name, String url) {}

    /**
     * The results of one URL. Latencies exclude warm-up requests; {@code failed} includes them. Immutable and thread-safe.
     *
     * @param answered number of recorded latencies
     * @param failed number of requests without a response of status 200
     */
    public record EndpointResult(
            String name, long answered, long failed, long p50Micros, long p90Micros, long p99Micros, long maxMicros) {}

    private static final class EndpointStats {
        private final Endpoint endpoint;
        private final Histogram latencyMicros = new Histogram(HISTOGRAM_SIGNIFICANT_DIGITS);
        private long failed;

        EndpointStats(Endpoint endpoint) {
            this.endpoint = endpoint;
        }

        EndpointResult toResult() {
            return new EndpointResult(
                    endpoint.name(),
                    latencyMicros.getTotalCount(),
                    failed,
                    latencyMicros.getValueAtPercentile(50),
                    latencyMicros.getValueAtPercentile(90),
                    latencyMicros.getValueAtPercentile(99),
                    latencyMicros.getMaxValue());
        }
    }

    /**
     * Prepares a run.
     *
     * @param perSecond requests per second to each URL
     * @param warmUpSeconds duration of the warm-up, whose latencies are not recorded
     * @param seconds duration of the measurement after the warm-up
     */
    public FixedRateProbe(List<Endpoint> endpoints, double perSecond, double warmUpSeconds, double seconds) {
        this.stats = endpoints.stream().map(EndpointStats::new).toList();
        double totalPerSecond = perSecond * endpoints.size();
        this.intervalNanos = NANOS_PER_SECOND / totalPerSecond;
        this.warmUpRequests = (long) (warmUpSeconds * totalPerSecond);
        this.totalRequests = warmUpRequests + (long) (seconds * totalPerSecond);
        this.client = new VerifyingSocketInspector()
                .addTo(HttpClient.builder(eventloop, DnsClient.create(eventloop, InetAddress.getLoopbackAddress())))
                .withKeepAliveTimeout(RESPONSE_TIMEOUT)
                .withReadWriteTimeout(RESPONSE_TIMEOUT)
                .build();
    }

    /** Sends all requests, waits until every one has ended, and returns one result per URL. */
    public List<EndpointResult> run() {
        eventloop.keepAlive(true);
        Thread thread = new Thread(eventloop, "probe");
        thread.start();
        long startNanos = System.nanoTime();
        for (long number = 0; number < totalRequests; number++) {
            long dueNanos = startNanos + (long) (number * intervalNanos);
            long requestNumber = number;
            parkUntil(dueNanos);
            eventloop.execute(() -> send(requestNumber, dueNanos));
        }
        return allEnded.join();
    }

    private static void parkUntil(long dueNanos) {
        while (System.nanoTime() < dueNanos) {
            LockSupport.parkNanos(Math.min(MAX_PARK_NANOS, dueNanos - System.nanoTime()));
        }
    }

    private void send(long number, long dueNanos) {
        EndpointStats endpointStats = stats.get((int) (number % stats.size()));
        HttpRequest request = HttpRequest.get(endpointStats.endpoint.url())
                .withHeader(HttpHeaders.of("X-Request-Id"), "probe-" + number)
                .build();
        client.request(request)
                .then(response -> response.loadBody().map(body -> response.getCode() == STATUS_OK))
                .then((succeeded, failure) -> Promise.of(failure == null && succeeded))
                .whenResult(isSuccess -> finish(endpointStats, number, dueNanos, isSuccess));
    }

    private void finish(EndpointStats endpointStats, long number, long dueNanos, boolean isSuccess) {
        if (!isSuccess) {
            endpointStats.failed++;
        } else if (number >= warmUpRequests) {
            endpointStats.latencyMicros.recordValue(Math.max(0, (System.nanoTime() - dueNanos) / NANOS_PER_MICRO));
        }
        endedRequests++;
        if (endedRequests == totalRequests) {
            client.stop();
            eventloop.keepAlive(false);
            allEnded.complete(stats.stream().map(EndpointStats::toResult).toList());
        }
    }
}
