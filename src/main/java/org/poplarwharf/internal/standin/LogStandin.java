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
 * <p>{@code POST /streams/{stream}} appends its body and answers with the offset as text; {@code GET
 * /streams/{stream}?from=&max=&wait=} answers with a page in MessagePack. Records live in memory. Belongs to one reactor
 * thread.
 */
public final class LogStandin extends HostedStandin<LogEvent, LogFaults> {
    private static final int MILLIS_PER_SECOND = 1_000;
    private static final MessagePackCodec<EventLog.Page> PAGES = new MessagePackCodec<>(EventLog.Page.class);

    private final LogSettings settings;
    private final Map<String, LogStream> streams = new HashMap<>();
    private final MonotonicClock clock = MonotonicClock.system();
    private final Random random;
    private double nextAppendMillis;

    private LogStandin(NioReactor reactor, StandinAddresses addresses, LogSettings settings) {
        super(
                reactor,
                new Journal<>(LogEvent.class, addresses.journal()),
                new Faults<>(LogFaults.class, LogFaults.none()));
        this.settings = settings;
        this.random = new Random(settings.seed());
        RoutingServlet servlet = RoutingServlet.builder(reactor)
                .with(POST, "/streams/:stream", this::append)
                .with(GET, "/streams/:stream", this::read)
                .build();
        listen(addresses, servlet);
    }

    /** Starts a log; call it in the reactor's thread. */
    public static LogStandin start(NioReactor reactor, StandinAddresses addresses, LogSettings settings) {
        return new LogStandin(reactor, addresses, settings);
    }

    private Promise<HttpResponse> append(HttpRequest request) {
        String stream = request.getPathParameter("stream");
        return StandinHost.body(request).then(payload -> {
            if (faults.get().appendOutage()) {
                return Promise.of(unavailable());
            }
            return delay(turnMillis() + faults.get().delayMillis()).then(ignored -> store(stream, payload));
        });
    }

    private Promise<HttpResponse> store(String stream, byte[] payload) {
        LogFaults now = faults.get();
        if (now.appendOutage()) {
            return Promise.of(unavailable());
        }
        boolean lost = losesAnswer(now);
        long offset = stream(stream).append(payload, clock.nowMillis());
        journal.add(new LogEvent(stream, offset, payload.length, lost));
        if (!lost) {
            return Promise.of(HttpResponse.ok200().withPlainText("" + offset).build());
        }
        return now.closeWhenLost() ? Promise.of(StandinHost.cutAnswer()) : StandinHost.noAnswer();
    }

    private boolean losesAnswer(LogFaults now) {
        if (now.loseNextAnswers() > 0) {
            faults.update(LogFaults::oneAnswerLost);
            return true;
        }
        return now.loseAnswerProbability() > 0 && random.nextDouble() < now.loseAnswerProbability();
    }

    private long turnMillis() {
        double now = clock.nowMillis();
        double turn = Math.max(now, nextAppendMillis);
        nextAppendMillis = turn + MILLIS_PER_SECOND / settings.appendsPerSecond();
        return (long) (turn - now);
    }

    private Promise<HttpResponse> read(HttpRequest request) {
        long from = StandinHost.longParameter(request, "from", 0);
        int max = (int) StandinHost.longParameter(request, "max", Integer.MAX_VALUE);
        long wait = StandinHost.longParameter(request, "wait", 0);
        LogStream stream = stream(request.getPathParameter("stream"));
        if (faults.get().readOutage()) {
            return Promise.of(unavailable());
        }
        return delay(faults.get().delayMillis())
                .then(ignored -> available(stream, from, wait))
                .map(ignored -> faults.get().readOutage() ? unavailable() : pageAnswer(stream, from, max));
    }

    private Promise<Void> available(LogStream stream, long from, long waitMillis) {
        EventLog.Page now = page(stream, from, 1);
        if (waitMillis == 0 || !now.entries().isEmpty() || from < now.firstOffset()) {
            return Promise.complete();
        }
        SettablePromise<Void> appended = new SettablePromise<>();
        Runnable listener = () -> appended.trySet(null);
        stream.whenAppended(listener);
        ScheduledRunnable timeout = reactor.delayBackground(waitMillis, () -> {
            stream.forget(listener);
            appended.trySet(null);
        });
        return appended.whenComplete(timeout::cancel);
    }

    private EventLog.Page page(LogStream stream, long from, int max) {
        stream.expire(clock.nowMillis() - settings.retentionMillis(), settings.retentionRecords());
        return stream.page(from, max);
    }

    private HttpResponse pageAnswer(LogStream stream, long from, int max) {
        return HttpResponse.ok200()
                .withBody(PAGES.encode(page(stream, from, max)))
                .build();
    }

    private LogStream stream(String name) {
        return streams.computeIfAbsent(name, key -> new LogStream());
    }

    private Promise<Void> delay(long millis) {
        return millis <= 0 ? Promise.complete() : Promises.delay(reactor, millis);
    }

    private static HttpResponse unavailable() {
        return StandinJson.response(503, new StandinHost.Problem("log-outage", "a fault is set"));
    }
}
