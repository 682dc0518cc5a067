package org.poplarwharf.internal.standin;

import static io.activej.http.HttpMethod.GET;
import static io.activej.http.HttpMethod.POST;

import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.poplarwharf.internal.codec.MessagePackCodec;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.plugins.EventLog;

/**
 * Stands in for the platform's append-only log.
 *
 * <p>{@code POST /streams/{stream}} appends the body and responds with the offset as text. {@code GET
 * /streams/{stream}?from=&max=&wait=} responds with a page of records in MessagePack; it waits up to {@code wait}
 * milliseconds for a record. Records are kept in memory only. Confined to one reactor thread.
 */
public final class LogStandin extends HttpStandin<LogEvent, LogFaults> {
    private static final int MILLIS_PER_SECOND = 1_000;
    private static final MessagePackCodec<EventLog.Page> PAGE_CODEC = new MessagePackCodec<>(EventLog.Page.class);

    private final LogSettings settings;
    private final Map<String, LogStream> streams = new HashMap<>();
    private final MonotonicClock clock = MonotonicClock.system();
    private final Random random;
    private double nextAppendMillis;

    private LogStandin(NioReactor reactor, StandinAddresses addresses, LogSettings settings) {
        super(
                reactor,
                new Journal<>(LogEvent.class, addresses.journal()),
                new ActiveFaults<>(LogFaults.class, LogFaults.none()));
        this.settings = settings;
        this.random = new Random(settings.seed());
        RoutingServlet servlet = RoutingServlet.builder(reactor)
                .with(POST, "/streams/:stream", this::append)
                .with(GET, "/streams/:stream", this::read)
                .build();
        listen(addresses, servlet);
    }

    /** Starts a log. Must be called on the reactor thread. */
    public static LogStandin start(NioReactor reactor, StandinAddresses addresses, LogSettings settings) {
        return new LogStandin(reactor, addresses, settings);
    }

    private Promise<HttpResponse> append(HttpRequest request) {
        String stream = request.getPathParameter("stream");
        return StandinServers.readBody(request).then(payload -> {
            if (faults.get().appendOutage()) {
                return Promise.of(unavailable());
            }
            return delay(appendDelayMillis() + faults.get().delayMillis()).then(ignored -> appendNow(stream, payload));
        });
    }

    private Promise<HttpResponse> appendNow(String stream, byte[] payload) {
        LogFaults currentFaults = faults.get();
        if (currentFaults.appendOutage()) {
            return Promise.of(unavailable());
        }
        boolean isResponseLost = losesResponse(currentFaults);
        long offset = stream(stream).append(payload, clock.nowMillis());
        journal.add(new LogEvent(stream, offset, payload.length, isResponseLost));
        if (!isResponseLost) {
            return Promise.of(HttpResponse.ok200().withPlainText("" + offset).build());
        }
        return currentFaults.closeWhenLost()
                ? Promise.of(StandinServers.truncatedResponse())
                : StandinServers.neverRespond();
    }

    private boolean losesResponse(LogFaults currentFaults) {
        if (currentFaults.loseNextAnswers() > 0) {
            faults.update(LogFaults::withOneLossUsed);
            return true;
        }
        return currentFaults.loseAnswerProbability() > 0 && random.nextDouble() < currentFaults.loseAnswerProbability();
    }

    private long appendDelayMillis() {
        double nowMillis = clock.nowMillis();
        double allowedMillis = Math.max(nowMillis, nextAppendMillis);
        nextAppendMillis = allowedMillis + MILLIS_PER_SECOND / settings.appendsPerSecond();
        return (long) (allowedMillis - nowMillis);
    }

    private Promise<HttpResponse> read(HttpRequest request) {
        long fromOffset = StandinServers.longParameter(request, "from", 0);
        int maxRecords = (int) StandinServers.longParameter(request, "max", Integer.MAX_VALUE);
        long waitMillis = StandinServers.longParameter(request, "wait", 0);
        LogStream stream = stream(request.getPathParameter("stream"));
        if (faults.get().readOutage()) {
            return Promise.of(unavailable());
        }
        return delay(faults.get().delayMillis())
                .then(ignored -> awaitRecord(stream, fromOffset, waitMillis))
                .map(ignored ->
                        faults.get().readOutage() ? unavailable() : pageResponse(stream, fromOffset, maxRecords));
    }

    private Promise<Void> awaitRecord(LogStream stream, long fromOffset, long waitMillis) {
        EventLog.Page firstRecord = page(stream, fromOffset, 1);
        if (waitMillis == 0 || !firstRecord.entries().isEmpty() || fromOffset < firstRecord.firstOffset()) {
            return Promise.complete();
        }
        SettablePromise<Void> appended = new SettablePromise<>();
        Runnable listener = () -> appended.trySet(null);
        stream.addAppendListener(listener);
        ScheduledRunnable timeout = reactor.delayBackground(waitMillis, () -> {
            stream.removeAppendListener(listener);
            appended.trySet(null);
        });
        return appended.whenComplete(timeout::cancel);
    }

    private EventLog.Page page(LogStream stream, long fromOffset, int maxRecords) {
        stream.expire(clock.nowMillis() - settings.retentionMillis(), settings.retentionRecords());
        return stream.page(fromOffset, maxRecords);
    }

    private HttpResponse pageResponse(LogStream stream, long fromOffset, int maxRecords) {
        return HttpResponse.ok200()
                .withBody(PAGE_CODEC.encode(page(stream, fromOffset, maxRecords)))
                .build();
    }

    private LogStream stream(String name) {
        return streams.computeIfAbsent(name, key -> new LogStream());
    }

    private Promise<Void> delay(long millis) {
        return millis <= 0 ? Promise.complete() : Promises.delay(reactor, millis);
    }

    private static HttpResponse unavailable() {
        return StandinJson.response(503, new StandinServers.Problem("log-outage", "a fault is set"));
    }
}
