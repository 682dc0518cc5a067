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
 * The state and services that all requests of one traffic thread share.
 *
 * <p>Confined to that thread, except for the drain state, which all traffic threads share. Permits are requested and
 * released on the control thread.
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
            RequestIdGenerator requestIds,
            PlaceSource admission,
            EngineDialect dialect,
            DrainState drainState) {
        this.drainState = drainState;
        this.loop = loop;
        this.control = context.control();
        this.admission = admission;
        this.dialect = dialect;
        this.connections = new TargetConnections(loop, context.settings().progressTimeoutMillis());
        this.requestIds = requestIds;
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

    void updateMetrics(Consumer<NodeMetrics> update) {
        metrics.ifPresent(update);
    }

    /** Records the latency of a request whose complete response was produced. */
    void recordCompletion(CallerRequest request) {
        updateMetrics(m ->
                m.wholeRequest(request.tenant(), request.requestClass().name(), nowMillis() - request.arrivedMillis()));
    }

    /** Counts and logs a request that was rejected or failed. */
    void recordFailure(FailureCode code, String requestId) {
        updateMetrics(m -> m.refused(code));
        boolean notRun = code.ran() == FailureCode.Ran.NO;
        log.ifPresent(nodeLog ->
                nodeLog.request(notRun ? LogEvent.REQUEST_REFUSED : LogEvent.REQUEST_FAILED, requestId, code));
    }

    Promise<Place> requestPermit(PlaceRequest request) {
        return Crossing.call(loop, control, () -> admission.ask(request));
    }

    void cancelPermitRequest(String requestId) {
        control.execute(() -> admission.withdraw(requestId));
    }

    void releasePermit(Place permit, Finished.Outcome outcome, long serviceMillis, long firstByteDelayMillis) {
        control.execute(() -> admission.giveBack(permit, outcome, serviceMillis, firstByteDelayMillis));
    }
}
