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
import org.poplarwharf.internal.target.TargetConnections;
import org.poplarwharf.plugins.EngineDialect;

/**
 * What the exchanges of one traffic thread share.
 *
 * <p>Belongs to that thread, but for the drain state, which is shared; places are asked for and given back on the control thread.
 */
final class TrafficThreadContext {
    private final Eventloop loop;
    private final Eventloop control;
    private final PlaceSource admission;
    private final EngineDialect dialect;
    private final DrainState drainState;
    private final TargetConnections connections;
    private final RetryBudget retryBudget = new RetryBudget();
    private final RequestIdGenerator requestIds;
    private final MonotonicClock clock;
    private final String zone;
    private final int maxBodyBytes;
    private final Optional<NodeMetrics> metrics;
    private final Optional<NodeLog> log;

    TrafficThreadContext(
            NodeContext context,
            Eventloop loop,
            RequestIdGenerator ids,
            PlaceSource places,
            EngineDialect dialect,
            DrainState drain) {
        this.drainState = drain;
        this.loop = loop;
        this.control = context.control();
        this.admission = places;
        this.dialect = dialect;
        this.connections = new TargetConnections(loop, context.settings().progressTimeoutMillis());
        this.requestIds = ids;
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

    TargetConnections connections() {
        return connections;
    }

    RetryBudget retryBudget() {
        return retryBudget;
    }

    RequestIdGenerator requestIds() {
        return requestIds;
    }

    String zone() {
        return zone;
    }

    int maxBodyBytes() {
        return maxBodyBytes;
    }

    boolean isDraining() {
        return drainState.isDraining();
    }

    long nowMillis() {
        return clock.nowMillis();
    }

    void updateMetrics(Consumer<NodeMetrics> measurement) {
        metrics.ifPresent(measurement);
    }

    /** The whole answer of a request is out. */
    void recordCompletion(CallerRequest request) {
        updateMetrics(m ->
                m.wholeRequest(request.tenant(), request.requestClass().name(), nowMillis() - request.arrivedMillis()));
    }

    /** A request was refused or failed. */
    void recordFailure(FailureCode code, String requestId) {
        updateMetrics(m -> m.refused(code));
        boolean notRun = code.ran() == FailureCode.Ran.NO;
        log.ifPresent(
                lines -> lines.request(notRun ? LogEvent.REQUEST_REFUSED : LogEvent.REQUEST_FAILED, requestId, code));
    }

    Promise<Place> requestPermit(PlaceRequest request) {
        return Crossing.call(loop, control, () -> admission.ask(request));
    }

    void cancelPermitRequest(String requestId) {
        control.execute(() -> admission.withdraw(requestId));
    }

    void releasePermit(Place place, Finished.Outcome outcome, long serviceMillis, long firstByteMillis) {
        control.execute(() -> admission.giveBack(place, outcome, serviceMillis, firstByteMillis));
    }
}
