package org.poplarwharf.internal.entry;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.poplarwharf.FailureCode;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.admission.AdmissionRequest;
import org.poplarwharf.internal.admission.GrantCompletion.Outcome;
import org.poplarwharf.internal.failure.CallerReporter;
import org.poplarwharf.internal.place.Permit;
import org.poplarwharf.internal.place.PermitRequest;
import org.poplarwharf.internal.target.BoundedBodyReader;

/**
 * Runs one request that may be retried: gets a permit, makes an attempt, retries within the retry budget and completes
 * with one final response.
 *
 * <p>Invariants: the caller gets one final response, at its deadline at the latest. A failure says "not run" only if no
 * attempt may have reached a target. Nothing is retried after bytes were sent to the caller, except that a stream may be
 * resumed. Silence of a target starts a search for another one, and its attempt ends only when another target's permit
 * was obtained. A stream that may last longer than the node is not begun. Confined to one traffic thread.
 */
final class RetryingExchange implements Attempt.SilenceListener, RequestsInFlight.InFlight {
    private static final int STATUS_OK = 200;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int STATUS_SERVER_ERROR = 500;
    private static final String NOT_LOADED_CODE = "not-loaded";

    private final TrafficThreadContext thread;
    private final CallerRequest request;
    private final SettablePromise<HttpResponse> responsePromise = new SettablePromise<>();
    private final List<String> excludedTargets = new ArrayList<>();
    private ScheduledRunnable deadline;
    private Optional<Attempt> attempt = Optional.empty();
    private Optional<CompletionStream> stream = Optional.empty();
    private Optional<Permit> replacement = Optional.empty();
    private String permitRequestId = "";
    private boolean searching;
    private boolean mayHaveRun;
    private boolean coldStart;
    private boolean ended;

    RetryingExchange(TrafficThreadContext thread, CallerRequest request) {
        this.thread = thread;
        this.request = request;
    }

    /** Runs the request. The promise fails with the failure that is reported to the caller. */
    Promise<HttpResponse> run() {
        thread.retryBudget().onRequest();
        thread.requestsInFlight().add(this);
        long remainingMillis = Math.max(1, request.deadlineMillis() - thread.nowMillis());
        deadline = thread.loop().delayBackground(remainingMillis, this::onDeadline);
        startAttempt();
        return responsePromise;
    }

    /** Returns whether the node can begin the request. One that may have run is continued in any case. */
    private boolean canBegin() {
        if (mayHaveRun) {
            return true;
        }
        return thread.canRunUntil(request.streamed() ? request.deadlineMillis() : thread.nowMillis());
    }

    @Override
    public void onDrain() {
        if (!canBegin()) {
            fail(CallerReporter.shuttingDown());
        }
    }

    @Override
    public void onStop() {
        giveUp(stopFailure());
    }

    private PoplarWharfException stopFailure() {
        if (!mayHaveRun) {
            return CallerReporter.shuttingDown();
        }
        return stream.isPresent()
                ? CallerReporter.streamInterruptedByStop()
                : CallerReporter.nodeStopped(request.artifact());
    }

    CallerRequest request() {
        return request;
    }

    TrafficThreadContext thread() {
        return thread;
    }

    /** Ends the exchange: no attempt follows, and the current attempt is aborted unless it has ended. */
    void end(Outcome outcome) {
        if (ended) {
            return;
        }
        ended = true;
        deadline.cancel();
        thread.requestsInFlight().remove(this);
        thread.cancelPermitRequest(permitRequestId);
        attempt.ifPresent(current -> current.abort(outcome));
        replacement.ifPresent(permit -> thread.releasePermit(permit, Outcome.NOT_SENT, 0, -1));
        replacement = Optional.empty();
    }

    /** Starts a search for another target, unless nothing could continue the response there or no retry is left. */
    @Override
    public void onSilence(Attempt silent) {
        boolean replaceable = stream.map(CompletionStream::isResumable).orElse(true);
        if (ended || searching || silent.isFinished() || !replaceable) {
            return;
        }
        if (!thread.retryBudget().tryAcquire()) {
            return;
        }
        searching = true;
        List<String> excluded = new ArrayList<>(excludedTargets);
        excluded.add(silent.target());
        Promise<Permit> permits = requestPermit(excluded);
        String searchId = permitRequestId;
        permits.whenComplete((permit, e) -> {
            if (!searchId.equals(permitRequestId)) {
                return;
            }
            searching = false;
            if (e != null) {
                thread.retryBudget().giveBack();
                return;
            }
            replace(silent, permit);
        });
    }

    @Override
    public void onSilenceEnded() {
        if (!searching) {
            return;
        }
        searching = false;
        thread.retryBudget().giveBack();
        thread.cancelPermitRequest(permitRequestId);
        permitRequestId = "";
    }

    /** Ends the attempt at the silent target. The read that fails thereby resumes a stream with the new permit. */
    private void replace(Attempt silent, Permit permit) {
        excludedTargets.add(silent.target());
        if (stream.isPresent()) {
            replacement = Optional.of(permit);
            silent.abort(Outcome.NO_PROGRESS);
            return;
        }
        silent.abort(Outcome.NO_PROGRESS);
        send(createAttempt(permit));
    }

    /** Opens a stream at another target for the tokens after those that the caller has; fails if no target can continue. */
    Promise<SseReader> resume(int afterTokens, Attempt failed) {
        return permitToResume(failed).then(permit -> {
            Attempt nextAttempt = createAttempt(permit);
            return nextAttempt.send(afterTokens).then(response -> openReader(nextAttempt, response));
        });
    }

    private Promise<Permit> permitToResume(Attempt failed) {
        if (replacement.isPresent()) {
            Permit permit = replacement.get();
            replacement = Optional.empty();
            return Promise.of(permit);
        }
        excludedTargets.add(failed.target());
        if (ended || !thread.retryBudget().tryAcquire()) {
            return Promise.ofException(CallerReporter.streamInterrupted(failed.target()));
        }
        return requestPermit(excludedTargets);
    }

    Optional<Attempt> attempt() {
        return attempt;
    }

    private Promise<SseReader> openReader(Attempt nextAttempt, HttpResponse response) {
        if (response.getCode() != STATUS_OK) {
            nextAttempt.abort(Outcome.TARGET_ERROR);
            return Promise.ofException(CallerReporter.streamInterrupted(nextAttempt.target()));
        }
        return Promise.of(new SseReader(nextAttempt, response.takeBodyStream()));
    }

    private void startAttempt() {
        if (!canBegin()) {
            fail(CallerReporter.shuttingDown());
            return;
        }
        requestPermit(excludedTargets).whenComplete((permit, e) -> {
            if (e != null) {
                fail(CallerResponses.toFailure(e));
                return;
            }
            send(createAttempt(permit));
        });
    }

    private Promise<Permit> requestPermit(List<String> excluded) {
        String id = thread.requestIds().next();
        permitRequestId = id;
        AdmissionRequest admission = new AdmissionRequest(
                id,
                request.artifact(),
                request.requestClass().name(),
                request.tenant(),
                thread.zone(),
                Math.max(0, request.deadlineMillis() - thread.nowMillis()),
                request.fingerprint(),
                request.prefixHash(),
                List.copyOf(excluded));
        long requestedMillis = thread.nowMillis();
        return thread.requestPermit(new PermitRequest(
                        admission,
                        request.deadlineMillis(),
                        request.requestClass().priority()))
                .then(permit -> {
                    if (ended || !id.equals(permitRequestId)) {
                        thread.releasePermit(permit, Outcome.NOT_SENT, 0, -1);
                        return Promise.ofException(deadlineFailure());
                    }
                    thread.updateMetrics(m -> m.recordQueueWait(
                            request.tenant(), request.requestClass().name(), thread.nowMillis() - requestedMillis));
                    return Promise.of(permit);
                });
    }

    private Attempt createAttempt(Permit permit) {
        coldStart |= permit.grant().coldStart();
        Attempt created = new Attempt(thread, request, permit, this);
        attempt = Optional.of(created);
        return created;
    }

    private void send(Attempt current) {
        boolean mayHaveRunBefore = mayHaveRun;
        mayHaveRun = true;
        current.send(0).whenComplete((response, e) -> {
            if (current.isFinished()) {
                return;
            }
            if (e != null) {
                onAttemptFailed(current, mayHaveRunBefore, e);
                return;
            }
            current.recordFirstByte();
            onResponse(current, mayHaveRunBefore, response);
        });
    }

    private void onAttemptFailed(Attempt current, boolean mayHaveRunBefore, Exception e) {
        Outcome outcome = current.failureOutcome();
        current.abort(outcome);
        if (outcome == Outcome.CONNECT_FAILED) {
            mayHaveRun = mayHaveRunBefore;
            retry(current, CallerReporter.targetUnreachable(current.target(), e));
            return;
        }
        retry(current, CallerReporter.targetFailed(current.target(), e));
    }

    private void onResponse(Attempt current, boolean mayHaveRunBefore, HttpResponse response) {
        if (RequestIdGenerator.belongsToAnotherRequest(
                response.getHeader(RequestHead.REQUEST_ID), current.attemptId())) {
            current.abort(Outcome.TARGET_ERROR);
            retry(current, CallerReporter.targetFailed(current.target(), null));
            return;
        }
        if (request.streamed() && response.getCode() == STATUS_OK) {
            startStream(current, response);
            return;
        }
        String contentType = Optional.ofNullable(response.getHeader(HttpHeaders.CONTENT_TYPE))
                .orElse("");
        BoundedBodyReader.read(
                        response.takeBodyStream(),
                        thread.maxBodyBytes(),
                        current::watch,
                        () -> CallerReporter.targetFailed(current.target(), null))
                .whenComplete((body, e) -> {
                    if (current.isFinished()) {
                        return;
                    }
                    if (e != null) {
                        onAttemptFailed(current, mayHaveRunBefore, e);
                        return;
                    }
                    onBody(current, mayHaveRunBefore, new BufferedResponse(response.getCode(), contentType, body));
                });
    }

    private void onBody(Attempt current, boolean mayHaveRunBefore, BufferedResponse buffered) {
        if (!request.isCompletion()) {
            complete(current, buffered);
            return;
        }
        if (buffered.status() == STATUS_NOT_FOUND && NOT_LOADED_CODE.equals(buffered.jsonField("code"))) {
            current.abort(Outcome.NOT_LOADED);
            mayHaveRun = mayHaveRunBefore || current.wasSentAgain();
            retry(current, CallerReporter.targetRefused(current.target()));
            return;
        }
        boolean misrouted = RequestIdGenerator.belongsToAnotherRequest(buffered.jsonField("id"), current.attemptId());
        boolean invalidBody = buffered.status() == STATUS_OK && !buffered.isJsonObject();
        if (misrouted
                || invalidBody
                || buffered.status() >= STATUS_SERVER_ERROR
                || buffered.status() == STATUS_TOO_MANY_REQUESTS) {
            current.abort(Outcome.TARGET_ERROR);
            retry(current, CallerReporter.targetFailed(current.target(), null));
            return;
        }
        complete(current, buffered);
    }

    private void complete(Attempt current, BufferedResponse buffered) {
        current.complete();
        end(Outcome.ANSWERED);
        CallerResponses.ResponseContext context =
                new CallerResponses.ResponseContext(request.requestId(), coldStart, thread.isDraining());
        responsePromise.trySet(
                CallerResponses.targetResponse(buffered.status(), buffered.contentType(), buffered.body(), context));
    }

    private void startStream(Attempt current, HttpResponse response) {
        SseReader reader = new SseReader(current, response.takeBodyStream());
        reader.next().whenComplete((first, e) -> {
            if (current.isFinished()) {
                return;
            }
            if (e != null) {
                onAttemptFailed(current, true, e);
                return;
            }
            CompletionStream body = new CompletionStream(this, current, reader, first);
            stream = Optional.of(body);
            responsePromise.trySet(CallerResponses.builder(STATUS_OK, request.requestId(), thread.isDraining())
                    .withHeader(HttpHeaders.CONTENT_TYPE, "text/event-stream")
                    .withHeader(CallerResponses.COLD_START, Boolean.toString(coldStart))
                    .withBodyStream(body)
                    .build());
        });
    }

    private void retry(Attempt failed, PoplarWharfException failure) {
        excludedTargets.add(failed.target());
        if (ended) {
            return;
        }
        if (canBegin() && !thread.retryBudget().tryAcquire()) {
            fail(failure);
            return;
        }
        startAttempt();
    }

    private void onDeadline() {
        giveUp(deadlineFailure());
    }

    /** Ends the exchange in the middle of its run, with a failure. */
    private void giveUp(PoplarWharfException failure) {
        if (ended) {
            return;
        }
        stream.ifPresent(active -> active.expire(failure));
        end(Outcome.CALLER_LEFT);
        responsePromise.trySetException(failure);
    }

    private PoplarWharfException deadlineFailure() {
        return CallerReporter.deadlineExceeded(request.artifact(), mayHaveRun);
    }

    private void fail(PoplarWharfException failure) {
        if (ended) {
            return;
        }
        end(Outcome.TARGET_ERROR);
        boolean mustHideNotRun = mayHaveRun && failure.code().ran() == FailureCode.Ran.NO;
        responsePromise.trySetException(
                mustHideNotRun ? CallerReporter.targetFailed(String.join(", ", excludedTargets), failure) : failure);
    }
}
