package org.poplarwharf.internal.gateway;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.poplarwharf.internal.crash.RequestIdentity;
import org.poplarwharf.internal.fleet.RequestTraits;
import org.poplarwharf.internal.fleet.Route;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.stream.StreamContinuation;

/** Writes the log records and metrics of one exchange. Confined to the event loop. */
final class ExchangeRecorder {
    private final GatewayContext context;
    private final Route route;
    private final RequestTraits traits;
    private final RequestIdentity identity;
    private final long arrivedMillis;
    private long lastBytesMillis;
    private Optional<String> firstBreak = Optional.empty();

    ExchangeRecorder(
            GatewayContext context, Route route, RequestTraits traits, RequestIdentity identity, long arrivedMillis) {
        this.context = context;
        this.route = route;
        this.traits = traits;
        this.identity = identity;
        this.arrivedMillis = arrivedMillis;
    }

    void recordSelection(String service, int attempt, long millisLeft) {
        context.metrics().countAttempt();
        log(
                "request-seeks-target",
                "service",
                service,
                "weights",
                traits.weightsName(),
                "fingerprint",
                identity.fingerprint(),
                "pathHash",
                identity.pathHash(),
                "queryHash",
                identity.queryHash(),
                "bodyHash",
                identity.bodyHash(),
                "sharedPromptParts",
                traits.sharedPromptParts().stream()
                        .map(RequestTraits.PromptPart::id)
                        .toList(),
                "send",
                attempt,
                "millisLeft",
                millisLeft);
    }

    /** Records a request that resumes a stream, and whether its software version is known from a record or otherwise. */
    void recordResumption(StreamContinuation stream, boolean isRecorded) {
        String source = isRecorded ? "record" : stream.softwareVersion().isPresent() ? "only-version" : "unknown";
        context.metrics().countResumedStream(source);
        log(
                "stream-resumed",
                "streamId",
                stream.streamId(),
                "softwareVersion",
                stream.softwareVersion().orElse(""),
                "source",
                source);
    }

    void recordSent(Target target, String by, long millisLeft) {
        recordBytes();
        log("request-sent", "target", target.id(), "by", by, "millisLeft", millisLeft);
    }

    /** Records that the target has sent a part of the response, which ends its silence. */
    void recordBytes() {
        lastBytesMillis = context.nowMillis();
    }

    void recordUnrelatedResponse(Target target) {
        log("stray-answer-skipped", "target", target.id());
    }

    void recordDeclined(Target target, int status) {
        log("request-declined", "target", target.id(), "status", status);
    }

    void recordUnreachable(Target target, String reason) {
        log("target-unreachable", "target", target.id(), "reason", reason);
    }

    void recordBroken(Target target, boolean repeated, String reason, int possibleRuns, int events) {
        firstBreak = firstBreak.or(() -> Optional.of(reason));
        log(
                repeated ? "request-repeated" : "request-broken",
                "target",
                target.id(),
                "reason",
                reason,
                "targetsRun",
                possibleRuns,
                "events",
                events,
                "silentMillis",
                context.nowMillis() - lastBytesMillis);
    }

    /** Records whether the retry budget allowed another target, and the state of the budget after that. */
    void recordRetryDecision(String service, boolean granted, RetryBudgetShare.Usage usage) {
        context.metrics().countRetryDecision(granted);
        log(
                granted ? "retry-granted" : "retry-denied",
                "service",
                service,
                "retriesInWindow",
                usage.retryCount(),
                "allowedInWindow",
                usage.allowedCount(),
                "nodes",
                usage.nodeCount());
    }

    /** Records the end of the exchange, with the reason for which its first attempt broke, if one did. */
    void recordEnd(String event, Object... fields) {
        List<Object> all = new ArrayList<>(List.of(fields));
        firstBreak.ifPresent(reason -> Collections.addAll(all, "firstBreak", reason));
        log(event, all.toArray());
        context.metrics().recordEnd(route, event, context.nowMillis() - arrivedMillis);
    }

    private void log(String event, Object... fields) {
        List<Object> all = new ArrayList<>();
        Collections.addAll(
                all, "requestId", traits.requestId(), "route", route.name(), "planVersion", context.planVersion());
        Collections.addAll(all, "millis", context.nowMillis() - arrivedMillis);
        Collections.addAll(all, fields);
        context.log().log(event, all.toArray());
    }
}
