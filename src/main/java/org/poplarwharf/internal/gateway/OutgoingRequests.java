package org.poplarwharf.internal.gateway;

import io.netty.handler.codec.http.FullHttpRequest;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.poplarwharf.internal.dispatch.DispatchRequest;
import org.poplarwharf.internal.fleet.ClientAccount;
import org.poplarwharf.internal.fleet.Route;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.http.InFlightRequest;
import org.poplarwharf.internal.http.ResponseListener;
import org.poplarwharf.internal.http.TargetConnectionPool;
import org.poplarwharf.internal.stream.StreamContinuation;

/**
 * Builds and sends what an exchange asks of selectors and targets.
 *
 * <p>Invariant: a connection carries the exchange's request at most once. All sends of a request have the same id, so that
 * on one connection a late copy of the response to the first send could not be told from the response to the second.
 * Confined to the event loop.
 */
final class OutgoingRequests {
    private final RequestContext context;
    private final GatewayContext gateway;
    private final FullHttpRequest request;
    private final Set<InFlightRequest> usedConnections = new HashSet<>();

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
                context.priority(),
                Math.min(context.deadlineMillis(), context.arrivedMillis() + route.callerTimeoutMillis()),
                context.arrivedMillis() + route.objectiveMillis(),
                gateway.policy().wantsBackup(route, context.traits()),
                withPaused(excluded),
                continuation,
                context.caller().knownAccount().map(ClientAccount::name),
                route.maxEventGapMillis());
    }

    private Set<String> withPaused(Set<String> excluded) {
        Set<String> all = gateway.statements().pausedTargetIds(context.service());
        all.addAll(excluded);
        return Set.copyOf(all);
    }

    /** Sends the caller's request to a target, on a connection that suits its route and has not carried this request. */
    InFlightRequest send(Target target, ForwardingTraits traits, ResponseListener listener) {
        InFlightRequest connection = gateway.connections()
                .send(
                        connectionSpec(target, traits),
                        HttpMessages.forTarget(request, gateway.headerCodec(), target, traits),
                        listener,
                        usedConnections);
        usedConnections.add(connection);
        return connection;
    }

    /** Sends the caller's request to a target on a connection that no other request has used. */
    InFlightRequest sendOnNewConnection(Target target, ForwardingTraits traits, ResponseListener listener) {
        InFlightRequest connection = gateway.connections()
                .sendOnNewConnection(
                        connectionSpec(target, traits),
                        HttpMessages.forTarget(request, gateway.headerCodec(), target, traits),
                        listener);
        usedConnections.add(connection);
        return connection;
    }

    private TargetConnectionPool.ConnectionSpec connectionSpec(Target target, ForwardingTraits traits) {
        return new TargetConnectionPool.ConnectionSpec(
                target.id(),
                target.address(),
                gateway.policy().connectTimeoutMillis(traits.millisLeft()),
                gateway.policy().maxIdleMillis(context.route().kind()));
    }
}
