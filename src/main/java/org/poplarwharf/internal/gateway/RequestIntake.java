package org.poplarwharf.internal.gateway;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.Optional;
import org.poplarwharf.FailureCode;
import org.poplarwharf.internal.fleet.FleetPlan;
import org.poplarwharf.internal.fleet.RequestTraits;
import org.poplarwharf.internal.fleet.Route;

/**
 * Decides by the plan in force whether a request is handled: whether it has a route, and a key if its route needs one.
 *
 * <p>Stateless; confined to the event loop of the gateway that it reads.
 */
final class RequestIntake {
    /** A node is ready within a second or two of its start, so callers are told to retry soon. */
    private static final long NOT_READY_RETRY_AFTER_MILLIS = 500;

    private RequestIntake() {}

    /** The decision on a request that arrives. */
    sealed interface Decision {}

    /** The request is handled in the given context. */
    record Accepted(RequestContext context) implements Decision {}

    /** The request is refused without being run. */
    record Refused(FailureCode code, String reason, long retryAfterMillis) implements Decision {}

    /** Logs a request that is refused before its exchange begins. */
    static void logRefused(GatewayContext gateway, String requestId, FailureCode code, String reason) {
        gateway.logRequestEvent(
                "request-refused",
                "requestId",
                requestId,
                "code",
                code.text(),
                "reason",
                reason,
                "planVersion",
                gateway.planVersion());
    }

    /**
     * Decides on a request.
     *
     * @param fromPeer whether another node has sent it, since it reaches no target
     */
    static Decision check(GatewayContext gateway, FullHttpRequest request, RequestTraits traits, boolean fromPeer) {
        if (!gateway.view().isComplete()) {
            return new Refused(FailureCode.NOT_READY, "no plan or targets yet", NOT_READY_RETRY_AFTER_MILLIS);
        }
        if (fromPeer && gateway.reachabilityWatch().reachability().isCutOff()) {
            return new Refused(FailureCode.NOT_READY, "this node reaches no target either", 0);
        }
        FleetPlan plan = gateway.view().plan().orElseThrow();
        Optional<Route> route = plan.routes().find(request.headers().get(HttpHeaderNames.HOST, ""), request.uri());
        if (route.isEmpty()) {
            return new Refused(FailureCode.UNKNOWN_PATH, "no route", 0);
        }
        return switch (gateway.callers()
                .identify(plan, route.get(), request.headers(), gateway.headerCodec(), gateway.nowMillis())) {
            case CallerIdentification.Rejected rejected ->
                new Refused(rejected.code(), rejected.reason(), rejected.retryAfterMillis());
            case CallerIdentification.Identified identified -> {
                RequestContext context = RequestContext.of(
                        gateway,
                        route.get(),
                        identified.caller(),
                        traits,
                        RequestContext.identityOf(request),
                        fromPeer);
                yield context.canRunWithinGracePeriod()
                        ? new Accepted(context)
                        : new Refused(FailureCode.SHUTTING_DOWN, AttemptLimits.NODE_ENDS_BEFORE, 0);
            }
        };
    }
}
