package org.poplarwharf.internal.gateway;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.poplarwharf.internal.fleet.RequestTraits;
import org.poplarwharf.internal.fleet.Route;
import org.poplarwharf.internal.fleet.Target;

/** What is logged and counted of one exchange. Confined to the event loop. */
final class ExchangeNotes {
    private final GatewayParts parts;
    private final Route route;
    private final String requestId;
    private final long arrivedMillis;

    ExchangeNotes(GatewayParts parts, Route route, String requestId, long arrivedMillis) {
        this.parts = parts;
        this.route = route;
        this.requestId = requestId;
        this.arrivedMillis = arrivedMillis;
    }

    void seeks(String service, RequestTraits traits, int send, long millisLeft) {
        parts.metrics().seeking();
        log(
                "request-seeks-target",
                "service",
                service,
                "weights",
                traits.weightsName(),
                "send",
                send,
                "millisLeft",
                millisLeft);
    }

    void sent(Target target, String by, long millisLeft) {
        log("request-sent", "target", target.id(), "by", by, "millisLeft", millisLeft);
    }

    void strayAnswer(Target target) {
        log("stray-answer-skipped", "target", target.id());
    }

    void declined(Target target, int status) {
        log("request-declined", "target", target.id(), "status", status);
    }

    void unreachable(Target target, String reason) {
        log("target-unreachable", "target", target.id(), "reason", reason);
    }

    void broken(Target target, boolean repeated, String reason, int targetsRun, int events) {
        String event = repeated ? "request-repeated" : "request-broken";
        log(event, "target", target.id(), "reason", reason, "targetsRun", targetsRun, "events", events);
    }

    void closed(String event, Object... fields) {
        log(event, fields);
        parts.metrics().ended(route, event, parts.nowMillis() - arrivedMillis);
    }

    private void log(String event, Object... fields) {
        List<Object> all = new ArrayList<>();
        Collections.addAll(all, "requestId", requestId, "route", route.name(), "planVersion", parts.planVersion());
        Collections.addAll(all, "millis", parts.nowMillis() - arrivedMillis);
        Collections.addAll(all, fields);
        parts.log().log(event, all.toArray());
    }
}
