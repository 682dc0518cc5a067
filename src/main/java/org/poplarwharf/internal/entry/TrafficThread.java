package org.poplarwharf.internal.entry;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.util.Optional;
import java.util.function.Consumer;
import org.poplarwharf.internal.admission.Finished;
import org.poplarwharf.internal.kernel.Crossing;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.kernel.NodeContext;
import org.poplarwharf.internal.kernel.NodeMetrics;
import org.poplarwharf.internal.place.Place;
import org.poplarwharf.internal.place.PlaceRequest;
import org.poplarwharf.internal.place.PlaceSource;
import org.poplarwharf.internal.target.TargetConnections;
import org.poplarwharf.plugins.EngineDialect;

/**
 * What the exchanges of one traffic thread share.
 *
 * <p>Belongs to that thread; places are asked for and given back on the control thread.
 */
final class TrafficThread {
    private final Eventloop loop;
    private final Eventloop control;
    private final PlaceSource places;
    private final EngineDialect dialect;
    private final TargetConnections connections;
    private final RetryBudget retries = new RetryBudget();
    private final RequestIds ids;
    private final MonotonicClock clock;
    private final String zone;
    private final int maxBodyBytes;
    private final Optional<NodeMetrics> metrics;

    TrafficThread(NodeContext context, Eventloop loop, RequestIds ids, PlaceSource places, EngineDialect dialect) {
        this.loop = loop;
        this.control = context.control();
        this.places = places;
        this.dialect = dialect;
        this.connections = new TargetConnections(loop, context.settings().progressTimeoutMillis());
        this.ids = ids;
        this.clock = context.clock();
        this.zone = context.settings().zone();
        this.maxBodyBytes = context.settings().maxBodyBytes();
        this.metrics = context.find(NodeMetrics.class);
    }

    Eventloop loop() {
        return loop;
    }

    EngineDialect dialect() {
        return dialect;
    }

    TargetConnections connections() {
        return connections;
    }

    RetryBudget retries() {
        return retries;
    }

    RequestIds ids() {
        return ids;
    }

    String zone() {
        return zone;
    }

    int maxBodyBytes() {
        return maxBodyBytes;
    }

    long nowMillis() {
        return clock.nowMillis();
    }

    void measure(Consumer<NodeMetrics> measurement) {
        metrics.ifPresent(measurement);
    }

    Promise<Place> ask(PlaceRequest request) {
        return Crossing.call(loop, control, () -> places.ask(request));
    }

    void withdraw(String requestId) {
        control.execute(() -> places.withdraw(requestId));
    }

    void giveBack(Place place, Finished.Outcome outcome, long serviceMillis, long firstByteMillis) {
        control.execute(() -> places.giveBack(place, outcome, serviceMillis, firstByteMillis));
    }
}
