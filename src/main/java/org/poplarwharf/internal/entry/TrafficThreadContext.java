package org.poplarwharf.internal.entry;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.util.Optional;
import java.util.function.Consumer;
import org.poplarwharf.FailureCode;
import org.poplarwharf.internal.admission.GrantCompletion;
import org.poplarwharf.internal.kernel.CrossLoopCalls;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.kernel.NodeContext;
import org.poplarwharf.internal.kernel.NodeLog;
import org.poplarwharf.internal.kernel.NodeLogEvent;
import org.poplarwharf.internal.kernel.NodeMetrics;
import org.poplarwharf.internal.place.AdmissionClient;
import org.poplarwharf.internal.place.Permit;
import org.poplarwharf.internal.place.PermitRequest;
import org.poplarwharf.internal.target.AbortableConnectionPool;
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
    private final AdmissionClient admission;
    private final EngineDialect dialect;
    private final DrainState drainState;
    private final AbortableConnectionPool connections;
    private final RequestsInFlight requestsInFlight = new RequestsInFlight();
    private final RetryTokenBucket retryBudget = new RetryTokenBucket();
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
            AdmissionClient admission,
            EngineDialect dialect,
            DrainState drainState) {
        this.drainState = drainState;
        this.loop = loop;
        this.control = context.controlLoop();
        this.admission = admission;
        this.dialect = dialect;
        this.connections = new AbortableConnectionPool(loop, context.settings().progressTimeoutMillis());
        this.requestIds = requestIds;
        this.clock = context.clock();
        this.zone = context.settings().zone();
        this.maxBodyBytes = context.settings().maxBodyBytes();
        this.metrics = context.findService(NodeMetrics.class);
        this.log = context.findService(NodeLog.class);
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

    RetryTokenBucket retryBudget() {
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

    /** Returns whether the node can still begin a response that may take until this deadline. */
    boolean canRunUntil(long deadlineMillis) {
        return drainState.allowsUntil(deadlineMillis);
    }

    RequestsInFlight requestsInFlight() {
        return requestsInFlight;
    }

    long nowMillis() {
        return clock.nowMillis();
    }

    void updateMetrics(Consumer<NodeMetrics> update) {
        metrics.ifPresent(update);
    }

    /** Records the latency of a request whose complete response was produced. */
    void recordCompletion(CallerRequest request) {
        updateMetrics(m -> m.recordRequestDuration(
                request.tenant(), request.requestClass().name(), nowMillis() - request.arrivedMillis()));
    }

    /** Counts and logs a request that was rejected or failed. */
    void recordFailure(FailureCode code, String requestId) {
        updateMetrics(m -> m.countRejection(code));
        boolean notRun = code.ran() == FailureCode.Ran.NO;
        log.ifPresent(nodeLog -> nodeLog.logRequestFailure(
                notRun ? NodeLogEvent.REQUEST_REFUSED : NodeLogEvent.REQUEST_FAILED, requestId, code));
    }

    Promise<Permit> requestPermit(PermitRequest request) {
        return CrossLoopCalls.call(loop, control, () -> admission.acquire(request));
    }

    void cancelPermitRequest(String requestId) {
        control.execute(() -> admission.cancel(requestId));
    }

    void releasePermit(Permit permit, GrantCompletion.Outcome outcome, long serviceMillis, long firstByteDelayMillis) {
        control.execute(() -> admission.release(permit, outcome, serviceMillis, firstByteDelayMillis));
    }
}
