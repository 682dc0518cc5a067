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
 * <p>{@code GET /fetch?bytes=N} responds when a transfer of N bytes would have finished. Confined to one reactor thread.
 */
public final class StoreStandin extends HttpStandin<StoreEvent, StoreFaults> {
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
                new ActiveFaults<>(StoreFaults.class, StoreFaults.none()));
        this.settings = settings;
        this.bandwidth = new SharedBandwidth(reactor, settings.fullSpeedFetches(), settings.bytesPerSecond());
        faults.onChange(changed -> bandwidth.setSlowDownFactor(Math.max(1, changed.slowDownFactor())));
        RoutingServlet servlet =
                RoutingServlet.builder(reactor).with(GET, "/fetch", this::fetch).build();
        listen(addresses, servlet);
    }

    /** Starts a store. Must be called on the reactor thread. */
    public static StoreStandin start(NioReactor reactor, StandinAddresses addresses, StoreSettings settings) {
        return new StoreStandin(reactor, addresses, settings);
    }

    private Promise<HttpResponse> fetch(HttpRequest request) {
        if (faults.get().outage()) {
            return Promise.of(StandinJson.response(503, new StandinServers.Problem("store-outage", "a fault is set")));
        }
        long bytes = StandinServers.longParameter(request, "bytes", 0);
        long startDelayMillis = startDelayMillis();
        Promise<Void> startDelay =
                startDelayMillis == 0 ? Promise.complete() : Promises.delay(reactor, startDelayMillis);
        return startDelay.then(ignored -> transfer(bytes));
    }

    private Promise<HttpResponse> transfer(long bytes) {
        long fetchId = nextFetchId++;
        long startMillis = clock.nowMillis();
        Promise<Void> done = bandwidth.transfer(bytes);
        journal.add(new StoreEvent.Started(fetchId, bytes, bandwidth.activeCount()));
        return done.map(ignored -> {
            StoreEvent.Finished finished = new StoreEvent.Finished(fetchId, clock.nowMillis() - startMillis);
            journal.add(finished);
            return StandinJson.response(200, finished);
        });
    }

    private long startDelayMillis() {
        double nowMillis = clock.nowMillis();
        double allowedMillis = Math.max(nowMillis, nextStartMillis);
        nextStartMillis = allowedMillis + MILLIS_PER_SECOND / settings.loadsPerSecond();
        return (long) (allowedMillis - nowMillis);
    }
}
