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
import org.poplarwharf.internal.target.TargetConnections;
import org.poplarwharf.plugins.EngineDialect;

/**
 * What the exchanges of one traffic thread share.
 *
 * <p>Belongs to that thread, but for the drain state, which is shared; places are asked for and given back on the control thread.
 */
final class TrafficThread {
    private final Eventloop loop;
    private final Eventloop control;
    private final AdmissionClient places;
    private final EngineDialect dialect;
    private final DrainState drain;
    private final TargetConnections connections;
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
            AdmissionClient places,
            EngineDialect dialect,
            DrainState drain) {
        this.drain = drain;
        this.loop = loop;
        this.control = context.controlLoop();
        this.places = places;
        this.dialect = dialect;
        this.connections = new TargetConnections(loop, context.settings().progressTimeoutMillis());
        this.ids = ids;
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
        measure(m -> m.recordRequestDuration(
                request.tenant(), request.requestClass().name(), nowMillis() - request.arrivedMillis()));
    }

    /** A request was refused or failed. */
    void refused(FailureCode code, String requestId) {
        measure(m -> m.countRejection(code));
        boolean notRun = code.ran() == FailureCode.Ran.NO;
        log.ifPresent(lines -> lines.logRequestFailure(
                notRun ? NodeLogEvent.REQUEST_REFUSED : NodeLogEvent.REQUEST_FAILED, requestId, code));
    }

    Promise<Permit> ask(PermitRequest request) {
        return CrossLoopCalls.call(loop, control, () -> places.acquire(request));
    }

    void withdraw(String requestId) {
        control.execute(() -> places.cancel(requestId));
    }

    void giveBack(Permit place, GrantCompletion.Outcome outcome, long serviceMillis, long firstByteMillis) {
        control.execute(() -> places.release(place, outcome, serviceMillis, firstByteMillis));
    }
}
