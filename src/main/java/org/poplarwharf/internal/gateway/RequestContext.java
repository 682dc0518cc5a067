package org.poplarwharf.internal.gateway;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.poplarwharf.internal.crash.RequestIdentity;
import org.poplarwharf.internal.crash.RequestSuspects;
import org.poplarwharf.internal.fleet.ClientAccount;
import org.poplarwharf.internal.fleet.RequestTraits;
import org.poplarwharf.internal.fleet.Route;

/**
 * What is known of a request when its exchange begins. The data is immutable; the collaborators are confined to the event
 * loop.
 *
 * @param caller whose request it is
 * @param service the service whose targets run the request
 * @param selector selects these targets
 * @param fromPeer whether another node has sent the request, since it reaches no target
 * @param arrivedMillis when the request was read, on the clock of the gateway
 * @param deadlineMillis when the caller must have the whole response, on the same clock
 */
record RequestContext(
        GatewayContext gateway,
        Route route,
        CallerIdentity caller,
        RequestTraits traits,
        RequestIdentity identity,
        String service,
        RequestSuspects suspects,
        TargetSelector selector,
        boolean fromPeer,
        long arrivedMillis,
        long deadlineMillis) {

    /** Returns the context of a request that arrives now. */
    static RequestContext of(
            GatewayContext gateway,
            Route route,
            CallerIdentity caller,
            RequestTraits traits,
            RequestIdentity identity,
            boolean fromPeer) {
        String service = route.serviceFor(traits.requestId());
        long arrivedMillis = gateway.nowMillis();
        long callerMillis = traits.remainingMillis().orElse(route.timeoutMillis());
        long deadlineMillis = arrivedMillis + Math.min(callerMillis, route.timeoutMillis());
        return new RequestContext(
                gateway,
                route,
                caller,
                traits,
                identity,
                service,
                new RequestSuspects(identity.fingerprint(), service, traits),
                gateway.selectorFor(service, caller, traits, deadlineMillis, !fromPeer),
                fromPeer,
                arrivedMillis,
                deadlineMillis);
    }

    /** Returns by what a request is recognized when it comes again. */
    static RequestIdentity identityOf(FullHttpRequest request) {
        return RequestIdentity.of(
                request.headers().get(HttpHeaderNames.AUTHORIZATION, ""),
                request.method().name(),
                request.uri(),
                ByteBufUtil.getBytes(request.content()));
    }

    /** Returns the priority of the request: that of its account, or of its route; zero is the highest. */
    int priority() {
        return caller.knownAccount()
                .map(ClientAccount::priority)
                .orElse(OptionalInt.empty())
                .orElse(route.priority());
    }

    /** Returns after which time the caller should retry if no target of the service takes requests now; empty if one does. */
    OptionalLong pauseMillis() {
        if (!fromPeer && gateway.reachabilityWatch().reachability().isCutOff()) {
            // Another node may take the request.
            return OptionalLong.empty();
        }
        return gateway.statements().pauseMillis(service, traits.requestId());
    }

    /**
     * Returns whether a run that begins now ends before a draining node does. A stream may take until its deadline; another
     * response is expected to take as long as the longest of its route did lately, or its objective.
     */
    boolean canRunWithinGracePeriod() {
        long nowMillis = gateway.nowMillis();
        long longestMillis = Math.max(0, millisLeft());
        long expectedMillis = route.kind().isStream()
                ? longestMillis
                : gateway.runTimes().longestMillis(route.name(), nowMillis).orElse(route.objectiveMillis());
        return gateway.gracePeriod().allows(Math.min(expectedMillis, longestMillis), nowMillis);
    }

    /** Returns how much of the caller's time is left, in milliseconds; negative after the deadline. */
    long millisLeft() {
        return deadlineMillis - gateway.nowMillis();
    }
}
