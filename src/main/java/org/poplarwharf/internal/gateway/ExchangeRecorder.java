package org.poplarwharf.internal.gateway;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.poplarwharf.internal.crash.RequestIdentity;
import org.poplarwharf.internal.fleet.RequestTraits;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.stream.StreamContinuation;

/** Writes the log records and metrics of one exchange. Confined to the event loop. */
final class ExchangeRecorder {
    private final RequestContext request;
    private final GatewayContext context;
    private long lastBytesMillis;
    private Optional<String> firstBreak = Optional.empty();

    ExchangeRecorder(RequestContext request) {
        this.request = request;
        this.context = request.gateway();
    }

    void recordSelection(int attempt) {
        RequestTraits traits = request.traits();
        RequestIdentity identity = request.identity();
        context.metrics().countAttempt();
        log(
                "request-seeks-target",
                "service",
                request.service(),
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
                request.millisLeft());
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

    /** Records a request that is in flight when the node begins to drain, and since when its target has it if it was sent. */
    void recordInFlight(Optional<Attempt> current, int events) {
        Optional<Attempt> attempt = current.filter(Attempt::wasSent);
        log(
                "request-in-flight",
                "target",
                attempt.map(sent -> sent.target().id()).orElse(""),
                "sentMillisAgo",
                attempt.map(sent -> context.nowMillis() - sent.sentMillis()).orElse(-1L),
                "events",
                events);
    }

    /** Records that the target has sent a part of the response, which ends its silence. */
    void recordBytes() {
        lastBytesMillis = context.nowMillis();
    }

    void recordUnrelatedResponse(Target target) {
        log("stray-answer-skipped", "target", target.id());
    }

    /** Records a response that states that the target did not run a request, and whether it states which one. */
    void recordDeclined(Target target, int status, boolean statesId) {
        log("request-declined", "target", target.id(), "status", status, "statesId", statesId);
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

    /** Records that a target has made no progress for some time, and whether another one is sought. */
    void recordSilent(Target target, boolean seeksOther) {
        log(
                "target-silent",
                "target",
                target.id(),
                "silentMillis",
                context.nowMillis() - lastBytesMillis,
                "seeksOther",
                seeksOther);
    }

    /** Records why no other target has taken the place of a silent one. */
    void recordNotReplaced(String reason) {
        log("target-not-replaced", "reason", reason);
    }

    /** Records whether the retry budget allowed another target, and the state of the budget after that. */
    void recordRetryDecision(boolean granted, RetryBudgetShare.Usage usage) {
        context.metrics().countRetryDecision(granted);
        log(
                granted ? "retry-granted" : "retry-denied",
                "service",
                request.service(),
                "retriesInWindow",
                usage.retryCount(),
                "allowedInWindow",
                usage.allowedCount(),
                "nodes",
                usage.nodeCount());
    }

    /** Records how long a target took for a successful response to what was sent then, or has taken until it was given up. */
    void recordRunTime(long sentMillis) {
        long nowMillis = context.nowMillis();
        context.runTimes().record(request.route().name(), nowMillis - sentMillis, nowMillis);
    }

    /** Records the end of the exchange, with the reason for which its first attempt broke, if one did. */
    void recordEnd(String event, Object... fields) {
        List<Object> all = new ArrayList<>(List.of(fields));
        firstBreak.ifPresent(reason -> Collections.addAll(all, "firstBreak", reason));
        log(event, all.toArray());
        context.metrics().recordEnd(request.route(), event, context.nowMillis() - request.arrivedMillis());
    }

    private void log(String event, Object... fields) {
        List<Object> all = new ArrayList<>();
        Collections.addAll(
                all,
                "requestId",
                request.traits().requestId(),
                "route",
                request.route().name(),
                "planVersion",
                context.planVersion());
        Collections.addAll(all, "millis", context.nowMillis() - request.arrivedMillis());
        Collections.addAll(all, fields);
        context.logRequestEvent(event, all.toArray());
    }
}
