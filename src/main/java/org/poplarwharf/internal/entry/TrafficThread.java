package org.poplarwharf.internal.entry;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.util.Optional;
import java.util.function.Consumer;
import org.poplarwharf.FailureCode;
import org.poplarwharf.internal.admission.Finished;
import org.poplarwharf.internal.kernel.Crossing;
import org.poplarwharf.internal.kernel.LogEvent;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.kernel.NodeContext;
import org.poplarwharf.internal.kernel.NodeLog;
import org.poplarwharf.internal.kernel.NodeMetrics;
import org.poplarwharf.internal.place.Place;
import org.poplarwharf.internal.place.PlaceRequest;
import org.poplarwharf.internal.place.PlaceSource;
import org.poplarwharf.internal.target.AbortableConnectionPool;
import org.poplarwharf.plugins.EngineDialect;

/**
 * What the exchanges of one traffic thread share.
 *
 * <p>Belongs to that thread, but for the drain state, which is shared; places are asked for and given back on the control thread.
 */
final class TrafficThread {
    private final Eventloop loop;
    private final Eventloop control;
    private final PlaceSource places;
    private final EngineDialect dialect;
    private final DrainState drain;
    private final AbortableConnectionPool connections;
    private final RetryBudget retries = new RetryBudget();
    private final RequestIds ids;
    private final MonotonicClock clock;
    private final String zone;
    private final int maxBodyBytes;
    private final Optional<NodeMetrics> metrics;
    private final Optional<NodeLog> log;

    TrafficThread(
            NodeContext context,
            Eventloop loop,
            RequestIds ids,
            PlaceSource places,
            EngineDialect dialect,
            DrainState drain) {
        this.drain = drain;
        this.loop = loop;
        this.control = context.control();
        this.places = places;
        this.dialect = dialect;
        this.connections = new AbortableConnectionPool(loop, context.settings().progressTimeoutMillis());
        this.ids = ids;
        this.clock = context.clock();
        this.zone = context.settings().zone();
        this.maxBodyBytes = context.settings().maxBodyBytes();
        this.metrics = context.find(NodeMetrics.class);
        this.log = context.find(NodeLog.class);
    }

    Eventloop loop() {
        return loop;
    }

    EngineDialect dialect() {
        return dialect;
    }

    AbortableConnectionPool connections() {
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

    boolean draining() {
        return drain.draining();
    }

    long nowMillis() {
        return clock.nowMillis();
    }

    void measure(Consumer<NodeMetrics> measurement) {
        metrics.ifPresent(measurement);
    }

    /** The whole answer of a request is out. */
    void answeredWhole(CallerRequest request) {
        measure(m ->
                m.wholeRequest(request.tenant(), request.requestClass().name(), nowMillis() - request.arrivedMillis()));
    }

    /** A request was refused or failed. */
    void refused(FailureCode code, String requestId) {
        measure(m -> m.refused(code));
        boolean notRun = code.ran() == FailureCode.Ran.NO;
        log.ifPresent(
                lines -> lines.request(notRun ? LogEvent.REQUEST_REFUSED : LogEvent.REQUEST_FAILED, requestId, code));
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
