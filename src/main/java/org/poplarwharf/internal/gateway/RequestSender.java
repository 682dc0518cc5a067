package org.poplarwharf.internal.gateway;

import io.netty.handler.codec.http.FullHttpRequest;
import org.poplarwharf.internal.fleet.Route;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.http.InFlightRequest;
import org.poplarwharf.internal.http.ResponseListener;
import org.poplarwharf.internal.http.TargetConnectionPool;

/** Sends a caller's request to targets, on connections that suit its route. Confined to the event loop. */
final class RequestSender {
    private final GatewayContext context;
    private final FullHttpRequest request;
    private final Route route;

    RequestSender(GatewayContext context, FullHttpRequest request, Route route) {
        this.context = context;
        this.request = request;
        this.route = route;
    }

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
