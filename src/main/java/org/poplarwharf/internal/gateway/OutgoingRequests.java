package org.poplarwharf.internal.gateway;

import io.netty.handler.codec.http.FullHttpRequest;
import java.util.Optional;
import java.util.Set;
import org.poplarwharf.internal.dispatch.DispatchRequest;
import org.poplarwharf.internal.fleet.Route;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.http.InFlightRequest;
import org.poplarwharf.internal.http.ResponseListener;
import org.poplarwharf.internal.http.TargetConnectionPool;
import org.poplarwharf.internal.stream.StreamContinuation;

/** Builds and sends what an exchange asks of selectors and targets. Confined to the event loop. */
final class OutgoingRequests {
    private final RequestContext context;
    private final GatewayContext gateway;
    private final FullHttpRequest request;

    OutgoingRequests(RequestContext context, FullHttpRequest request) {
        this.context = context;
        this.gateway = context.gateway();
        this.request = request;
    }

    /** Returns the request for a target, except those that are excluded and those that take none from this node now. */
    DispatchRequest dispatchRequest(String key, Set<String> excluded, Optional<StreamContinuation> continuation) {
        Route route = context.route();
        return new DispatchRequest(
                key,
                gateway.settings().zone(),
                context.service(),
                context.traits(),
                route.priority(),
                Math.min(context.deadlineMillis(), context.arrivedMillis() + route.callerTimeoutMillis()),
                context.arrivedMillis() + route.objectiveMillis(),
                gateway.policy().wantsBackup(route, context.traits()),
                withPaused(excluded),
                continuation);
    }

    private Set<String> withPaused(Set<String> excluded) {
        Set<String> all = gateway.statements().pausedTargetIds();
        all.addAll(excluded);
        return Set.copyOf(all);
    }

    /** Sends the caller's request to a target, on a connection that suits its route. */
    InFlightRequest send(Target target, ForwardingTraits traits, ResponseListener listener) {
        return gateway.connections()
                .send(
                        connectionSpec(target, traits),
                        HttpMessages.forTarget(request, gateway.headerCodec(), traits),
                        listener);
    }

    /** Sends the caller's request to a target on a connection that no other request has used. */
    InFlightRequest sendOnNewConnection(Target target, ForwardingTraits traits, ResponseListener listener) {
        return gateway.connections()
                .sendOnNewConnection(
                        connectionSpec(target, traits),
                        HttpMessages.forTarget(request, gateway.headerCodec(), traits),
                        listener);
    }

    private TargetConnectionPool.ConnectionSpec connectionSpec(Target target, ForwardingTraits traits) {
        return new TargetConnectionPool.ConnectionSpec(
                target.id(),
                target.address(),
                gateway.policy().connectTimeoutMillis(traits.millisLeft()),
                gateway.policy().maxIdleMillis(context.route().kind()));
    }
}
