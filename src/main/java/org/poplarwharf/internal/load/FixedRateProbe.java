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

/**
 * Sends {@code GET} requests to several URLs in turn, each at the same fixed rate, and compares the times of the answers.
 *
 * <p>Times count from when a request was due, so that a stall of the sender is not left out. Used for one run; the
 * requests run on an event loop of its own, which alone touches the figures until all have ended.
 */
public final class FixedRateProbe {
    private static final int STATUS_OK = 200;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long STEP_NANOS = 20_000;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int DIGITS = 3;
    private static final Duration ANSWER_LIMIT = Duration.ofSeconds(10);

    private final List<Series> series;
    private final double gapNanos;
    private final long warmUpRequests;
    private final long requests;
    private final Eventloop eventloop = Eventloop.builder().build();
    private final HttpClient client;
    private final CompletableFuture<List<Result>> allEnded = new CompletableFuture<>();
    private long ended;

    /** A URL under a name. Immutable and thread-safe. */
    public record Target(String name, String url) {}

    /** What one URL gave. Immutable and thread-safe. */
    public record Result(
            String name, long answered, long failed, long p50Micros, long p90Micros, long p99Micros, long maxMicros) {}

    private static final class Series {
        private final Target target;
        private final Histogram micros = new Histogram(DIGITS);
        private long failed;

        Series(Target target) {
            this.target = target;
        }

        Result result() {
            return new Result(
                    target.name(),
                    micros.getTotalCount(),
                    failed,
                    micros.getValueAtPercentile(50),
                    micros.getValueAtPercentile(90),
                    micros.getValueAtPercentile(99),
                    micros.getMaxValue());
        }
    }

    /**
     * Prepares a run.
     *
     * @param perSecond requests a second to each URL
     * @param warmUpSeconds how long requests are sent whose times don't count
     */
    public FixedRateProbe(List<Target> targets, double perSecond, double warmUpSeconds, double seconds) {
        this.series = targets.stream().map(Series::new).toList();
        double perSecondOverAll = perSecond * targets.size();
        this.gapNanos = NANOS_PER_SECOND / perSecondOverAll;
        this.warmUpRequests = (long) (warmUpSeconds * perSecondOverAll);
        this.requests = warmUpRequests + (long) (seconds * perSecondOverAll);
        this.client = HttpClient.builder(eventloop, DnsClient.create(eventloop, InetAddress.getLoopbackAddress()))
                .withKeepAliveTimeout(ANSWER_LIMIT)
                .withReadWriteTimeout(ANSWER_LIMIT)
                .build();
    }

    /** Runs until every request has ended. */
    public List<Result> run() {
        eventloop.keepAlive(true);
        Thread thread = new Thread(eventloop, "probe");
        thread.start();
        long startNanos = System.nanoTime();
        for (long number = 0; number < requests; number++) {
            long dueNanos = startNanos + (long) (number * gapNanos);
            long sent = number;
            awaitNanos(dueNanos);
            eventloop.execute(() -> send(sent, dueNanos));
        }
        return allEnded.join();
    }

    private static void awaitNanos(long dueNanos) {
        while (System.nanoTime() < dueNanos) {
            LockSupport.parkNanos(Math.min(STEP_NANOS, dueNanos - System.nanoTime()));
        }
    }

    private void send(long number, long dueNanos) {
        Series of = series.get((int) (number % series.size()));
        HttpRequest request = HttpRequest.get(of.target.url())
                .withHeader(HttpHeaders.of("X-Request-Id"), "probe-" + number)
                .build();
        client.request(request)
                .then(response -> response.loadBody().map(body -> response.getCode() == STATUS_OK))
                .then((answered, failure) -> Promise.of(failure == null && answered))
                .whenResult(whole -> finish(of, number, dueNanos, whole));
    }

    private void finish(Series of, long number, long dueNanos, boolean whole) {
        if (!whole) {
            of.failed++;
        } else if (number >= warmUpRequests) {
            of.micros.recordValue(Math.max(0, (System.nanoTime() - dueNanos) / NANOS_PER_MICRO));
        }
        ended++;
        if (ended == requests) {
            client.stop();
            eventloop.keepAlive(false);
            allEnded.complete(series.stream().map(Series::result).toList());
        }
    }
}
