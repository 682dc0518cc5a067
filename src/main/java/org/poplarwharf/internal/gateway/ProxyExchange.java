package org.poplarwharf.internal.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.OptionalLong;
import org.poplarwharf.FailureCode;
import org.poplarwharf.internal.dispatch.RunOutcome;
import org.poplarwharf.internal.fleet.Route;
import org.poplarwharf.internal.fleet.Target;

/**
 * Handles one request from its arrival to its final response.
 *
 * <p>Invariants: the caller gets exactly one response, no later than the request's deadline. A request that may have
 * run is sent again only if its route allows that. The response says "not run" only if no target can have run the
 * request. A response that breaks off never looks complete. Confined to the event loop.
 */
final class ProxyExchange implements Attempt.Listener, TargetSelector.Callback {
    private final RequestContext context;
    private final GatewayContext gateway;
    private final ResponseSink sink;
    private final FullHttpRequest request;
    private final Route route;
    private final TargetSelector selector;
    private final ResponseRelay relay;
    private final ExchangeRecorder recorder;
    private final AttemptLimits limits;
    private final AttemptSender sender;
    private final StreamContinuity continuity;
    private final EventProgress progress;
    private final Future<?> deadlineTimer;
    private final ProgressTimer progressTimer;
    private final TargetReplacement replacement;
    private String selectionKey = "";
    private Optional<Attempt> current = Optional.empty();
    private boolean done;

    ProxyExchange(RequestContext context, ResponseSink sink, FullHttpRequest request) {
        this.context = context;
        this.gateway = context.gateway();
        this.sink = sink;
        this.request = request;
        this.route = context.route();
        this.selector = context.selector();
        boolean streaming = route.kind().isStream() && !HttpMethod.HEAD.equals(request.method());
        this.relay = new ResponseRelay(gateway.headerCodec(), sink, context.traits(), route.kind(), streaming);
        this.recorder = new ExchangeRecorder(context);
        this.limits = new AttemptLimits(context, recorder);
        this.continuity = new StreamContinuity(gateway.streamOrigins(), route, context.traits(), context.service());
        this.progress = new EventProgress(continuity, route.maxEventGapMillis());
        this.sender = new AttemptSender(context, new OutgoingRequests(context, request), limits, recorder, continuity);
        this.replacement =
                new TargetReplacement(context, sender, limits, recorder, continuity, relay, this::replaceSilentTarget);
        this.progressTimer = new ProgressTimer(gateway, this::handleNoProgress);
        this.deadlineTimer = gateway.schedule(context.millisLeft(), this::expire);
    }

    void start() {
        limits.recordRequest();
        continuity.recordResumption(recorder);
        selectTarget();
    }

    private void selectTarget() {
        if (refuseIfNotAllowed()) {
            return;
        }
        OptionalLong pauseMillis = context.pauseMillis();
        if (pauseMillis.isPresent()) {
            giveUp("targets paused", pauseMillis.getAsLong());
            return;
        }
        selectionKey = gateway.nextKey();
        sender.search(selectionKey, this);
    }

    @Override
    public void onSelected(Target selected, Optional<Target> backupTarget, String by) {
        if (done || refuseIfNotAllowed()) {
            return;
        }
        if (!continuity.allows(selected)) {
            releaseTarget();
            giveUp("target of another software version", gateway.policy().retryAfterDeclinedMillis());
        } else if (!gateway.statements().accepts(selected)) {
            releaseTarget();
            sender.exclude(selected);
            selectTarget();
        } else {
            send(selected, backupTarget, Optional.empty(), by);
        }
    }

    /** Sends the request, or resumes its stream from the backup copy if the address of that copy is given. */
    private void send(Target target, Optional<Target> backup, Optional<InetSocketAddress> resumeAddress, String by) {
        if (!limits.hasTimeLeft()) {
            expire();
            return;
        }
        progress.restart();
        Attempt attempt = new Attempt(selectionKey, target, backup, gateway.nowMillis(), this);
        current = Optional.of(attempt);
        int runCount = limits.possibleRunCount() + 1;
        sender.send(attempt, relay.lastEventId(), resumeAddress, by);
        progressTimer.restart(gateway.policy().progressTimeoutMillis(target, route, runCount));
    }

    @Override
    public void onRejected(String reason, long retryAfterMillis) {
        if (!done) {
            giveUp(reason, retryAfterMillis);
        }
    }

    @Override
    public void onRefused(FailureCode code, String reason, long retryAfterMillis) {
        end(code, reason, retryAfterMillis);
    }

    @Override
    public void onSending(Attempt attempt) {
        limits.recordPossibleRun();
    }

    @Override
    public void onHead(Attempt attempt, HttpResponse head) {
        relay.receiveHead(head, attempt, limits.possibleRunCount() > 1);
        relay.statements().ifPresent(stated -> gateway.statements().record(attempt, stated, selector));
    }

    @Override
    public void onContent(Attempt attempt, ByteBuf chunk) {
        recorder.recordBytes();
        switch (relay.addChunk(chunk)) {
            case INCOMPLETE -> onBytesForwarded(attempt);
            case EVENTS_FORWARDED -> onEventsForwarded(attempt);
            case INVALID_AFTER_EVENTS -> {
                onEventsForwarded(attempt);
                handleBreak(attempt, "spoiled answer");
            }
            case INVALID -> handleBreak(attempt, "spoiled answer");
        }
    }

    private void onEventsForwarded(Attempt attempt) {
        replacement.cancel();
        sender.report(attempt, progress.recordEvents(attempt, gateway.nowMillis()));
        progressTimer.restart(
                gateway.policy().eventGapTimeoutMillis(attempt.target(), route, limits.possibleRunCount()));
        onBytesForwarded(attempt);
    }

    /** Stops reading from the target while the caller takes no more bytes; that is no silence of the target. */
    private void onBytesForwarded(Attempt attempt) {
        replacement.cancelIfNotAllowed();
        if (!sink.isWritable()) {
            attempt.pauseReading();
            progress.recordReadingPaused();
            progressTimer.stop();
        }
    }

    /** Resumes reading from the target once the caller can take more bytes. */
    void resumeReading() {
        if (current.filter(Attempt::resumeReading).isPresent()) {
            progressTimer.repeat();
        }
    }

    @Override
    public void onReadComplete(Attempt attempt) {
        relay.flush();
    }

    @Override
    public boolean onComplete(Attempt attempt) {
        switch (relay.verdict()) {
            case OTHER_REQUEST -> {
                recorder.recordUnrelatedResponse(attempt.target());
                return false;
            }
            case INVALID -> handleBreak(attempt, "spoiled answer");
            case BROKEN_OFF -> onBroken(attempt, "stream ended inside an event");
            case DECLINED -> retryDeclined(attempt);
            case UNIDENTIFIED_REFUSAL -> handleBreak(attempt, "refusal without the id of the request");
            case FAILED_CONTINUATION -> handleBreak(attempt, "failed by target");
            case UNPROVEN_REFUSAL -> handleBreak(attempt, "refusal that doesn't state that the request has not run");
            case COMPLETE -> answer(attempt);
        }
        return true;
    }

    private void answer(Attempt attempt) {
        endAttempt();
        boolean serverError = relay.status() >= 500 && !relay.started();
        if (serverError
                && gateway.policy().retriesServerErrors(attempt.target(), route)
                && replacement.tryReserveRerun()) {
            rerun(attempt, "failed by target");
            return;
        }
        sender.report(attempt, progress.recordEnd(attempt, gateway.nowMillis()));
        sender.reportEnd(attempt, relay.isMarkedSuccess());
        close("request-answered", relay.finish());
    }

    private void retryDeclined(Attempt attempt) {
        endAttempt();
        recorder.recordDeclined(attempt.target(), relay.status(), relay.statesId());
        limits.recordNotRun();
        selector.reportOutcome(attempt.key(), new RunOutcome.Declined());
        relay.discardUnsent();
        if (gateway.policy().excludesDeclined(attempt.target(), route, limits.attemptCount())) {
            sender.exclude(attempt.target());
        }
        if (!tryContinue(attempt, "declined by target")) {
            retryOrGiveUp("declined by target");
        }
    }

    @Override
    public void onNotSent(Attempt attempt, String reason) {
        endAttempt();
        selector.reportOutcome(attempt.key(), new RunOutcome.ConnectionFailed());
        sender.exclude(attempt.target());
        recorder.recordUnreachable(attempt.target(), reason);
        retryOrGiveUp("target unreachable");
    }

    /** Tries another target after one that did not run the request, if limits allow it. */
    private void retryOrGiveUp(String reason) {
        Optional<Attempt> other = replacement.take();
        if (other.isPresent()) {
            adopt(other.get());
        } else if (limits.tryReserveAttempt(relay)) {
            selectTarget();
        } else {
            giveUp(reason, gateway.policy().retryAfterDeclinedMillis());
        }
    }

    @Override
    public void onBroken(Attempt attempt, String reason) {
        gateway.crashDetector().recordClosedRun(attempt.target(), context.suspects(), attempt.sentMillis());
        handleBreak(attempt, reason);
    }

    /** Ends an attempt whose response is broken, and continues or fails the request. */
    private void handleBreak(Attempt attempt, String reason) {
        attempt.cancel();
        relay.flush();
        endAttempt();
        if (replacement.tryReserveRerun()) {
            rerun(attempt, reason);
        } else if (!tryContinue(attempt, reason)) {
            recordBroken(attempt, false, reason);
            giveUp(reason, 0);
        }
    }

    private void rerun(Attempt broken, String reason) {
        recordBroken(broken, true, reason);
        relay.discardUnsent();
        sender.exclude(broken.target());
        replacement.take().ifPresentOrElse(this::adopt, this::selectTarget);
    }

    private void recordBroken(Attempt attempt, boolean repeated, String reason) {
        selector.reportOutcome(attempt.key(), relay.breakOutcome());
        recorder.recordBroken(attempt.target(), repeated, reason, limits.possibleRunCount(), relay.eventCount());
    }

    /** Goes on with an attempt that was begun because the target before it was silent. */
    private void adopt(Attempt attempt) {
        selectionKey = attempt.key();
        current = Optional.of(attempt);
        attempt.setListener(this);
        progress.restart();
        int runCount = limits.possibleRunCount() + (attempt.wasSent() ? 0 : 1);
        progressTimer.restart(gateway.policy().progressTimeoutMillis(attempt.target(), route, runCount));
    }

    /** Goes on at the backup of a broken attempt or at the silent target that it had replaced; returns whether it can. */
    private boolean tryContinue(Attempt broken, String reason) {
        Optional<Target> next = sender.continuationTarget(broken, relay);
        if (next.isEmpty() || !limits.tryReserveRetry()) {
            return false;
        }
        recordBroken(broken, true, reason);
        relay.discardUnsent();
        selectionKey = gateway.nextKey();
        send(next.get(), Optional.empty(), broken.backup().map(Target::address), "continuation");
        return true;
    }

    /** Looks for another target. The request goes on running at the silent one, which may be sound. */
    private void handleNoProgress() {
        current.ifPresent(silent -> {
            replacement.seek(silent);
            progressTimer.repeat();
        });
    }

    private void replaceSilentTarget(Attempt other) {
        Attempt silent = current.orElseThrow();
        sender.abandon(silent);
        recordBroken(silent, true, "no progress");
        relay.discardUnsent();
        adopt(other);
    }

    private void giveUp(String reason, long retryAfterMillis) {
        end(FailureCode.TARGET_FAILED, continuity.failureCode(), reason, retryAfterMillis);
    }

    private void end(FailureCode codeIfRun, FailureCode codeIfNotRun, String reason, long retryAfterMillis) {
        if (relay.started()) {
            sink.abortResponse();
            close("request-cut", "reason", reason);
            return;
        }
        boolean mayHaveRun = limits.mayHaveRun();
        FailureCode code = mayHaveRun ? codeIfRun : codeIfNotRun;
        long retryMillis = mayHaveRun ? 0 : retryAfterMillis;
        sink.sendProblem(context.traits().requestId(), code, reason, retryMillis);
        close("request-failed", "code", code.text(), "reason", reason, "retryAfterMillis", retryMillis);
    }

    /** Refuses a request that no target has yet if this node, which drains, would end before it. */
    void refuseIfTooLate() {
        if (!done && current.filter(Attempt::wasSent).isEmpty()) {
            refuseIfNotAllowed();
        }
    }

    /** Refuses a request that must not run, and returns whether it did. */
    private boolean refuseIfNotAllowed() {
        Optional<AttemptLimits.Refusal> refusal = limits.refusal();
        refusal.ifPresent(found -> {
            releaseTarget();
            end(FailureCode.TARGET_FAILED, found.code(), found.reason(), found.retryAfterMillis());
        });
        return refusal.isPresent();
    }

    private void expire() {
        if (!done) {
            releaseTarget();
            end(FailureCode.DEADLINE_EXCEEDED_RUNNING, continuity.failureCode(), "deadline", 0);
        }
    }

    /** Ends the exchange with the given failure, or with an unknown outcome if the request may have run. */
    void end(FailureCode codeIfNotRun, String reason, long retryAfterMillis) {
        if (!done) {
            releaseTarget();
            end(FailureCode.OUTCOME_UNKNOWN, codeIfNotRun, reason, retryAfterMillis);
        }
    }

    /** Logs how far the request is when the node begins to drain. */
    void recordInFlight() {
        recorder.recordInFlight(current, relay.eventCount());
    }

    void handleCallerGone() {
        if (!done) {
            releaseTarget();
            close("caller-left", "begun", relay.started());
        }
    }

    private void releaseTarget() {
        sender.release(current, selectionKey);
        endAttempt();
    }

    private void endAttempt() {
        current = Optional.empty();
        progressTimer.stop();
    }

    private void close(String event, Object... fields) {
        done = true;
        deadlineTimer.cancel(false);
        progressTimer.stop();
        replacement.cancel();
        selector.reportRequestEnd(limits.mayHaveRun());
        recorder.recordEnd(event, fields);
        relay.release();
        request.release();
    }
}
