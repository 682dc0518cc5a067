package org.poplarwharf.internal.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.poplarwharf.FailureCode;
import org.poplarwharf.internal.crash.CrashHistory;
import org.poplarwharf.internal.crash.RequestIdentity;
import org.poplarwharf.internal.crash.RequestSuspects;
import org.poplarwharf.internal.dispatch.RunOutcome;
import org.poplarwharf.internal.fleet.RequestTraits;
import org.poplarwharf.internal.fleet.Route;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.http.InFlightRequest;
import org.poplarwharf.internal.http.ResponseListener;

/**
 * Handles one request from its arrival to its final response.
 *
 * <p>Invariants: the caller gets exactly one response, no later than the request's deadline. A request that may have
 * run is sent again only if its route allows that. The response says "not run" only if no target can have run the
 * request. A response that breaks off never looks complete. Confined to the event loop.
 */
final class ProxyExchange implements ResponseListener, TargetSelector.Callback {
    private final GatewayContext context;
    private final ResponseSink sink;
    private final FullHttpRequest request;
    private final RequestTraits traits;
    private final Route route;
    private final String service;
    private final RequestSuspects suspects;
    private final TargetSelector selector;
    private final long arrivedMillis;
    private final long deadlineMillis;
    private final Set<String> excluded = new HashSet<>();
    private final ResponseRelay relay;
    private final ExchangeRecorder recorder;
    private final AttemptLimits limits;
    private final OutgoingRequests outgoing;
    private final StreamContinuity continuity;
    private final Future<?> deadlineTimer;
    private final ProgressTimer progressTimer;
    private String selectionKey = "";
    private InFlightRequest inFlight;
    private Target target;
    private Optional<Target> backup = Optional.empty();
    private long sentMillis;
    private boolean firstEventReported;
    private boolean done;

    ProxyExchange(
            GatewayContext context,
            ResponseSink sink,
            FullHttpRequest request,
            Route route,
            RequestTraits traits,
            RequestIdentity identity) {
        this.context = context;
        this.sink = sink;
        this.request = request;
        this.route = route;
        this.traits = traits;
        this.service = route.serviceFor(traits.requestId());
        this.suspects = new RequestSuspects(identity.fingerprint(), service, traits);
        this.selector = context.selectorFor(service);
        this.arrivedMillis = context.nowMillis();
        long callerMillis = traits.remainingMillis().orElse(route.timeoutMillis());
        this.deadlineMillis = arrivedMillis + Math.min(callerMillis, route.timeoutMillis());
        boolean streaming = route.kind().isStream() && !HttpMethod.HEAD.equals(request.method());
        this.relay =
                new ResponseRelay(context.headerCodec(), sink, traits.requestId(), streaming, traits.lastEventId());
        this.recorder = new ExchangeRecorder(context, route, traits, identity, arrivedMillis);
        this.limits = new AttemptLimits(context, recorder, route, service, suspects, deadlineMillis);
        this.outgoing = new OutgoingRequests(context, request, route, traits, service, arrivedMillis, deadlineMillis);
        this.continuity = new StreamContinuity(context.streamOrigins(), route, traits, service);
        this.progressTimer = new ProgressTimer(context, this::handleNoProgress);
        this.deadlineTimer = context.schedule(deadlineMillis - arrivedMillis, this::expire);
    }

    void start() {
        context.retryBudget().recordRequest(service, arrivedMillis);
        continuity.recordResumption(recorder);
        selectTarget();
    }

    private void selectTarget() {
        if (refuseIfCrashing()) {
            return;
        }
        OptionalLong pauseMillis = context.statements().pauseMillis(service, traits.requestId());
        if (pauseMillis.isPresent()) {
            giveUp("targets paused", pauseMillis.getAsLong());
            return;
        }
        limits.recordAttempt();
        selectionKey = context.nextKey();
        recorder.recordSelection(service, limits.attemptCount(), deadlineMillis - context.nowMillis());
        selector.select(outgoing.dispatchRequest(selectionKey, excluded, continuity.continuation()), this);
    }

    @Override
    public void onSelected(Target selected, Optional<Target> backupTarget, String by) {
        if (done || refuseIfCrashing()) {
            return;
        }
        if (!continuity.allows(selected)) {
            releaseTarget();
            giveUp("target of another software version", context.policy().retryAfterDeclinedMillis());
        } else if (!context.statements().accepts(selected)) {
            releaseTarget();
            excluded.add(selected.id());
            selectTarget();
        } else {
            backup = backupTarget;
            send(selected, Optional.empty(), by);
        }
    }

    /** Sends the request, or resumes its stream from the backup copy if the address of that copy is given. */
    private void send(Target selected, Optional<InetSocketAddress> resumeAddress, String by) {
        target = selected;
        sentMillis = context.nowMillis();
        firstEventReported = false;
        long millisLeft = deadlineMillis - sentMillis;
        if (!limits.hasTimeLeft()) {
            expire();
            return;
        }
        recorder.recordSent(target, by, millisLeft);
        ForwardingTraits forwarding = new ForwardingTraits(
                target.id(),
                millisLeft,
                route.kind().isStream() ? relay.lastEventId() : OptionalLong.empty(),
                resumeAddress.isEmpty() ? backup.map(Target::address) : Optional.empty(),
                resumeAddress,
                OptionalInt.of(route.priority()));
        inFlight = outgoing.send(target, forwarding, this);
        progressTimer.restart(context.policy().progressTimeoutMillis(route, limits.possibleRunCount() + 1));
    }

    @Override
    public void onRejected(String reason, long retryAfterMillis) {
        if (!done) {
            giveUp(reason, retryAfterMillis);
        }
    }

    @Override
    public void onSending() {
        limits.recordPossibleRun();
    }

    @Override
    public void onHead(HttpResponse head) {
        relay.receiveHead(head);
        relay.statements().ifPresent(traits -> context.statements().record(target, traits, selector));
    }

    @Override
    public void onContent(ByteBuf chunk) {
        recorder.recordBytes();
        switch (relay.addChunk(chunk)) {
            case INCOMPLETE -> pauseReadingIfFull();
            case EVENTS_FORWARDED -> onEventsForwarded();
            case INVALID -> handleBreak("spoiled answer");
        }
    }

    private void onEventsForwarded() {
        reportFirstEvent();
        progressTimer.restart(context.policy().eventGapTimeoutMillis(route, limits.possibleRunCount() + 1));
        pauseReadingIfFull();
    }

    private void reportFirstEvent() {
        if (!firstEventReported) {
            firstEventReported = true;
            selector.reportOutcome(selectionKey, continuity.recordFirstEvent(target, context.nowMillis() - sentMillis));
        }
    }

    /** Stops reading from the target while the caller takes no more bytes, so that no more than a buffer is kept. */
    private void pauseReadingIfFull() {
        if (!sink.isWritable() && inFlight != null) {
            inFlight.setReading(false);
        }
    }

    /** Resumes reading from the target once the caller can take more bytes. */
    void resumeReading() {
        if (inFlight != null) {
            inFlight.setReading(true);
        }
    }

    @Override
    public void onReadComplete() {
        relay.flush();
    }

    @Override
    public boolean onComplete() {
        switch (relay.verdict()) {
            case OTHER_REQUEST -> {
                recorder.recordUnrelatedResponse(target);
                return false;
            }
            case INVALID -> handleBreak("spoiled answer");
            case BROKEN_OFF -> onBroken("stream ended inside an event");
            case DECLINED -> retryDeclined();
            case FAILED_CONTINUATION -> handleBreak("failed by target");
            case COMPLETE -> answer();
        }
        return true;
    }

    private void answer() {
        inFlight = null;
        progressTimer.stop();
        boolean serverError = relay.status() >= 500 && !relay.started();
        if (serverError && context.policy().retriesServerErrors(route) && limits.tryReserveRerun(relay)) {
            rerun("failed by target");
            return;
        }
        reportFirstEvent();
        selector.reportEnd(selectionKey, relay.isMarkedSuccess());
        context.crashDetector().recordResponse(suspects, relay.isMarkedSuccess());
        close("request-answered", relay.finish());
    }

    private void retryDeclined() {
        inFlight = null;
        progressTimer.stop();
        recorder.recordDeclined(target, relay.status());
        limits.recordNotRun();
        selector.reportOutcome(selectionKey, new RunOutcome.Declined());
        relay.discardUnsent();
        if (context.policy().excludesDeclined(route, limits.attemptCount())) {
            excluded.add(target.id());
        }
        retryOrGiveUp("declined by target");
    }

    @Override
    public void onNotSent(String reason) {
        inFlight = null;
        progressTimer.stop();
        selector.reportOutcome(selectionKey, new RunOutcome.ConnectionFailed());
        excluded.add(target.id());
        recorder.recordUnreachable(target, reason);
        retryOrGiveUp("target unreachable");
    }

    /** Tries another target after one that did not run the request, if limits allow it. */
    private void retryOrGiveUp(String reason) {
        if (limits.tryReserveAttempt(relay)) {
            selectTarget();
        } else {
            giveUp(reason, context.policy().retryAfterDeclinedMillis());
        }
    }

    @Override
    public void onBroken(String reason) {
        context.crashDetector().recordClosedRun(target, suspects, sentMillis);
        handleBreak(reason);
    }

    /** Ends an attempt whose response is broken, and continues or fails the request. */
    private void handleBreak(String reason) {
        cancelInFlight();
        progressTimer.stop();
        if (limits.tryReserveRerun(relay)) {
            rerun(reason);
        } else if (canContinueFromBackup()) {
            continueFromBackup(reason);
        } else {
            selector.reportOutcome(selectionKey, new RunOutcome.ConnectionFailed());
            recorder.recordBroken(target, false, reason, limits.possibleRunCount(), relay.eventCount());
            giveUp(reason, 0);
        }
    }

    /** Returns whether a started run can resume at its backup as the same run. Takes a retry from the budget. */
    private boolean canContinueFromBackup() {
        boolean hasBackup = backup.filter(other -> context.mayContinueAt(other) && continuity.allows(other))
                .isPresent();
        return hasBackup && relay.hasForwardedEvents() && limits.tryReserveRetry();
    }

    private void continueFromBackup(String reason) {
        Target backupTarget = backup.orElseThrow();
        backup = Optional.empty();
        selector.reportOutcome(selectionKey, new RunOutcome.ConnectionFailed());
        recorder.recordBroken(target, true, reason, limits.possibleRunCount(), relay.eventCount());
        relay.discardUnsent();
        selectionKey = context.nextKey();
        send(backupTarget, Optional.of(backupTarget.address()), "copy");
    }

    private void handleNoProgress() {
        if (!done && inFlight != null) {
            context.crashDetector().recordAbandonedRun(target, suspects, sentMillis);
            handleBreak("no progress");
        }
    }

    private void rerun(String reason) {
        selector.reportOutcome(selectionKey, new RunOutcome.ConnectionFailed());
        recorder.recordBroken(target, true, reason, limits.possibleRunCount(), relay.eventCount());
        relay.discardUnsent();
        excluded.add(target.id());
        selectTarget();
    }

    private void giveUp(String reason, long retryAfterMillis) {
        if (relay.started()) {
            sink.abortResponse();
            close("request-cut", "reason", reason);
        } else if (limits.mayHaveRun()) {
            fail(FailureCode.TARGET_FAILED, reason, 0);
        } else {
            fail(continuity.failureCode(), reason, retryAfterMillis);
        }
    }

    /** Refuses a request that has crashed targets, or a part of whose prompt has, and returns whether it did. */
    private boolean refuseIfCrashing() {
        Optional<CrashHistory.Refusal> refusal = limits.crashRefusal();
        if (refusal.isEmpty()) {
            return false;
        }
        releaseTarget();
        if (limits.mayHaveRun()) {
            giveUp(refusal.get().reason(), 0);
        } else {
            fail(
                    FailureCode.CRASH_SUSPECTED,
                    refusal.get().reason(),
                    refusal.get().remainingMillis());
        }
        return true;
    }

    private void expire() {
        if (!done) {
            releaseTarget();
            if (limits.mayHaveRun() && !relay.started()) {
                fail(FailureCode.DEADLINE_EXCEEDED_RUNNING, "deadline", 0);
            } else {
                giveUp("deadline", 0);
            }
        }
    }

    void handleCallerGone() {
        if (!done) {
            releaseTarget();
            close("caller-left", "begun", relay.started());
        }
    }

    private void releaseTarget() {
        if (inFlight != null && limits.mayHaveRun()) {
            context.crashDetector().recordAbandonedRun(target, suspects, sentMillis);
        }
        cancelInFlight();
        selector.cancel(selectionKey);
        selector.reportOutcome(selectionKey, new RunOutcome.Abandoned());
    }

    private void fail(FailureCode code, String reason, long retryAfterMillis) {
        sink.sendProblem(traits.requestId(), code, reason, retryAfterMillis);
        close("request-failed", "code", code.text(), "reason", reason, "retryAfterMillis", retryAfterMillis);
    }

    private void close(String event, Object... fields) {
        done = true;
        deadlineTimer.cancel(false);
        progressTimer.stop();
        recorder.recordEnd(event, fields);
        relay.release();
        request.release();
    }

    private void cancelInFlight() {
        if (inFlight != null) {
            inFlight.cancel();
            inFlight = null;
        }
    }
}
