package org.poplarwharf.internal.standin;

import static io.activej.http.HttpMethod.GET;

import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.reactor.nio.NioReactor;
import org.poplarwharf.internal.kernel.MonotonicClock;

/**
 * Stands in for the weight store.
 *
 * <p>{@code GET /fetch?bytes=N} answers when N bytes would have been transferred. Belongs to one reactor thread.
 */
public final class StoreStandin extends HostedStandin<StoreEvent, StoreFaults> {
    private static final int MILLIS_PER_SECOND = 1_000;

    private final StoreSettings settings;
    private final MonotonicClock clock = MonotonicClock.system();
    private final SharedBandwidth bandwidth;
    private double nextStartMillis;
    private long nextFetchId;

    private StoreStandin(NioReactor reactor, StandinAddresses addresses, StoreSettings settings) {
        super(
                reactor,
                new Journal<>(StoreEvent.class, addresses.journal()),
                new Faults<>(StoreFaults.class, StoreFaults.none()));
        this.settings = settings;
        this.bandwidth = new SharedBandwidth(reactor, settings.fullSpeedPlaces(), settings.bytesPerSecond());
        faults.onChange(now -> bandwidth.slowDown(Math.max(1, now.slowDownFactor())));
        RoutingServlet servlet =
                RoutingServlet.builder(reactor).with(GET, "/fetch", this::fetch).build();
        listen(addresses, servlet);
    }

    /** Starts a store; call it in the reactor's thread. */
    public static StoreStandin start(NioReactor reactor, StandinAddresses addresses, StoreSettings settings) {
        return new StoreStandin(reactor, addresses, settings);
    }

    private Promise<HttpResponse> fetch(HttpRequest request) {
        if (faults.get().outage()) {
            return Promise.of(StandinJson.response(503, new StandinHost.Problem("store-outage", "a fault is set")));
        }
        long bytes = StandinHost.longParameter(request, "bytes", 0);
        long turnMillis = turnMillis();
        Promise<Void> turn = turnMillis == 0 ? Promise.complete() : Promises.delay(reactor, turnMillis);
        return turn.then(ignored -> transfer(bytes));
    }

    private Promise<HttpResponse> transfer(long bytes) {
        long fetchId = nextFetchId++;
        long startMillis = clock.nowMillis();
        Promise<Void> done = bandwidth.transfer(bytes);
        journal.add(new StoreEvent.Started(fetchId, bytes, bandwidth.active()));
        return done.map(ignored -> {
            StoreEvent.Finished finished = new StoreEvent.Finished(fetchId, clock.nowMillis() - startMillis);
            journal.add(finished);
            return StandinJson.response(200, finished);
        });
    }

    private long turnMillis() {
        double now = clock.nowMillis();
        double turn = Math.max(now, nextStartMillis);
        nextStartMillis = turn + MILLIS_PER_SECOND / settings.loadsPerSecond();
        return (long) (turn - now);
    }
}
