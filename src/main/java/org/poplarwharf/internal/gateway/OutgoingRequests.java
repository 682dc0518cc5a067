package org.poplarwharf.internal.gateway;

import io.netty.handler.codec.http.FullHttpRequest;
import java.util.Optional;
import java.util.Set;
import org.poplarwharf.internal.dispatch.DispatchRequest;
import org.poplarwharf.internal.fleet.RequestTraits;
import org.poplarwharf.internal.fleet.Route;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.http.InFlightRequest;
import org.poplarwharf.internal.http.ResponseListener;
import org.poplarwharf.internal.http.TargetConnectionPool;
import org.poplarwharf.internal.stream.StreamContinuation;

/** Builds and sends what an exchange asks of selectors and targets. Confined to the event loop. */
final class OutgoingRequests {
    private final GatewayContext context;
    private final FullHttpRequest request;
    private final Route route;
    private final RequestTraits traits;
    private final String service;
    private final long arrivedMillis;
    private final long deadlineMillis;

    OutgoingRequests(
            GatewayContext context,
            FullHttpRequest request,
            Route route,
            RequestTraits traits,
            String service,
            long arrivedMillis,
            long deadlineMillis) {
        this.context = context;
        this.request = request;
        this.route = route;
        this.traits = traits;
        this.service = service;
        this.arrivedMillis = arrivedMillis;
        this.deadlineMillis = deadlineMillis;
    }

    /** Returns the request for a target, except those that are excluded and those that take none from this node now. */
    DispatchRequest dispatchRequest(String key, Set<String> excluded, Optional<StreamContinuation> continuation) {
        return new DispatchRequest(
                key,
                context.settings().zone(),
                service,
                traits,
                route.priority(),
                Math.min(deadlineMillis, arrivedMillis + route.callerTimeoutMillis()),
                arrivedMillis + route.objectiveMillis(),
                context.policy().wantsBackup(route, traits),
                withPaused(excluded),
                continuation);
    }

    private Set<String> withPaused(Set<String> excluded) {
        Set<String> all = context.statements().pausedTargetIds();
        all.addAll(excluded);
        return Set.copyOf(all);
    }

    /** Sends the caller's request to a target, on a connection that suits its route. */
    InFlightRequest send(Target target, ForwardingTraits traits, ResponseListener listener) {
        TargetConnectionPool.ConnectionSpec spec = new TargetConnectionPool.ConnectionSpec(
                target.id(),
                target.address(),
                context.policy().connectTimeoutMillis(traits.millisLeft()),
                context.policy().maxIdleMillis(route.kind()));
        return context.connections()
                .send(spec, HttpMessages.forTarget(request, context.headerCodec(), traits), listener);
    }
}
