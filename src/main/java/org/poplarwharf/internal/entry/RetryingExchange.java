package org.poplarwharf.internal.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.poplarwharf.FailureCode;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.admission.AdmitRequest;
import org.poplarwharf.internal.admission.Finished.Outcome;
import org.poplarwharf.internal.failure.CallerReporter;
import org.poplarwharf.internal.place.Place;
import org.poplarwharf.internal.place.PlaceRequest;
import org.poplarwharf.internal.target.BodyReader;

/**
 * The path of one repeatable request: a place, an attempt, further attempts within the retry budget, one final answer.
 *
 * <p>Invariants: the caller gets one final answer, at its deadline at the latest; a failure says "not run" only when no
 * attempt may have reached a target; nothing is retried after bytes went to the caller, except a stream that is resumed.
 * Belongs to one traffic thread.
 */
final class RetryingExchange {
    private static final int STATUS_OK = 200;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int STATUS_SERVER_ERROR = 500;
    private static final String NOT_LOADED_CODE = "not-loaded";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final TrafficThreadContext thread;
    private final CallerRequest request;
    private final SettablePromise<HttpResponse> responsePromise = new SettablePromise<>();
    private final List<String> excludedTargets = new ArrayList<>();
    private ScheduledRunnable deadline;
    private Optional<Attempt> attempt = Optional.empty();
    private Optional<CompletionStream> stream = Optional.empty();
    private String permitRequestId = "";
    private boolean mayHaveRun;
    private boolean coldStart;
    private boolean ended;

    RetryingExchange(TrafficThreadContext thread, CallerRequest request) {
        this.thread = thread;
        this.request = request;
    }

    /** Runs the request; the promise fails with the failure that the caller is to be told. */
    Promise<HttpResponse> run() {
        thread.retryBudget().onRequest();
        long leftMillis = Math.max(1, request.deadlineMillis() - thread.nowMillis());
        deadline = thread.loop().delayBackground(leftMillis, this::onDeadline);
        startAttempt();
        return responsePromise;
    }

    CallerRequest request() {
        return request;
    }

    TrafficThreadContext thread() {
        return thread;
    }

    /** Ends the exchange: nothing more is tried, and the present attempt is given up unless it has ended. */
    void end(Outcome outcome) {
        if (ended) {
            return;
        }
        ended = true;
        deadline.cancel();
        thread.cancelPermitRequest(permitRequestId);
        attempt.ifPresent(present -> present.abort(outcome));
    }

    /** Opens another stream for the tokens behind those that the caller has; fails when none can go on. */
    Promise<SseReader> resume(int afterTokens, Attempt broken) {
        excludedTargets.add(broken.target());
        if (ended || !thread.retryBudget().tryAcquire()) {
            return Promise.ofException(CallerReporter.streamInterrupted(broken.target()));
        }
        return requestPermit().then(place -> {
            Attempt next = createAttempt(place);
            return next.send(afterTokens).then(response -> openReader(next, response));
        });
    }

    Optional<Attempt> attempt() {
        return attempt;
    }

    private Promise<SseReader> openReader(Attempt next, HttpResponse response) {
        if (response.getCode() != STATUS_OK) {
            next.abort(Outcome.TARGET_ERROR);
            return Promise.ofException(CallerReporter.streamInterrupted(next.target()));
        }
        return Promise.of(new SseReader(next.connection(), response.takeBodyStream(), next.attemptId()));
    }

    private void startAttempt() {
        requestPermit().whenComplete((place, e) -> {
            if (e != null) {
                fail(CallerResponses.toFailure(e));
                return;
            }
            send(createAttempt(place));
        });
    }

    private Promise<Place> requestPermit() {
        permitRequestId = thread.requestIds().next();
        AdmitRequest admission = new AdmitRequest(
                permitRequestId,
                request.artifact(),
                request.requestClass().name(),
                request.tenant(),
                thread.zone(),
                Math.max(0, request.deadlineMillis() - thread.nowMillis()),
                request.fingerprint(),
                request.prefixHash(),
                List.copyOf(excludedTargets));
        long askedMillis = thread.nowMillis();
        return thread.requestPermit(new PlaceRequest(
                        admission,
                        request.deadlineMillis(),
                        request.requestClass().priority()))
                .then(place -> {
                    if (ended) {
                        thread.releasePermit(place, Outcome.NOT_SENT, 0, -1);
                        return Promise.ofException(deadlineFailure());
                    }
                    thread.updateMetrics(m -> m.waited(
                            request.tenant(), request.requestClass().name(), thread.nowMillis() - askedMillis));
                    return Promise.of(place);
                });
    }

    private Attempt createAttempt(Place place) {
        coldStart |= place.grant().coldStart();
        Attempt begun = new Attempt(thread, request, place);
        attempt = Optional.of(begun);
        return begun;
    }

    private void send(Attempt now) {
        boolean before = mayHaveRun;
        mayHaveRun = true;
        now.send(0).whenComplete((response, e) -> {
            if (now.isFinished()) {
                return;
            }
            if (e != null) {
                onAttemptFailed(now, before, e);
                return;
            }
            now.recordFirstByte();
            onResponse(now, before, response);
        });
    }

    private void onAttemptFailed(Attempt now, boolean before, Exception e) {
        Outcome outcome = now.failureOutcome();
        now.abort(outcome);
        if (outcome == Outcome.CONNECT_FAILED) {
            mayHaveRun = before;
            retry(now, CallerReporter.targetUnreachable(now.target(), e));
            return;
        }
        retry(now, CallerReporter.targetFailed(now.target(), e));
    }

    private void onResponse(Attempt now, boolean before, HttpResponse response) {
        if (RequestIdGenerator.belongsToAnotherRequest(response.getHeader(RequestHead.REQUEST_ID), now.attemptId())) {
            now.abort(Outcome.TARGET_ERROR);
            retry(now, CallerReporter.targetFailed(now.target(), null));
            return;
        }
        if (request.streamed() && response.getCode() == STATUS_OK) {
            startStream(now, response);
            return;
        }
        String contentType = Optional.ofNullable(response.getHeader(HttpHeaders.CONTENT_TYPE))
                .orElse("");
        BodyReader.read(
                        response.takeBodyStream(),
                        thread.maxBodyBytes(),
                        now::readWithProgressTimeout,
                        () -> CallerReporter.targetFailed(now.target(), null))
                .whenComplete((body, e) -> {
                    if (now.isFinished()) {
                        return;
                    }
                    if (e != null) {
                        onAttemptFailed(now, before, e);
                        return;
                    }
                    onBody(now, before, new BufferedResponse(response.getCode(), contentType, body));
                });
    }

    private void onBody(Attempt now, boolean before, BufferedResponse whole) {
        if (!request.isCompletion()) {
            complete(now, whole);
            return;
        }
        if (whole.status() == STATUS_NOT_FOUND && NOT_LOADED_CODE.equals(jsonField(whole.body(), "code"))) {
            now.abort(Outcome.NOT_LOADED);
            mayHaveRun = before;
            retry(now, CallerReporter.targetRefused(now.target()));
            return;
        }
        boolean crossed = RequestIdGenerator.belongsToAnotherRequest(jsonField(whole.body(), "id"), now.attemptId());
        boolean broken = whole.status() == STATUS_OK && !isJsonObject(whole.body());
        if (crossed || broken || whole.status() >= STATUS_SERVER_ERROR || whole.status() == STATUS_TOO_MANY_REQUESTS) {
            now.abort(Outcome.TARGET_ERROR);
            retry(now, CallerReporter.targetFailed(now.target(), null));
            return;
        }
        complete(now, whole);
    }

    private void complete(Attempt now, BufferedResponse whole) {
        now.complete();
        end(Outcome.ANSWERED);
        CallerResponses.ResponseContext origin = new CallerResponses.ResponseContext(request.requestId(), coldStart, thread.isDraining());
        responsePromise.trySet(CallerResponses.targetResponse(whole.status(), whole.contentType(), whole.body(), origin));
    }

    private void startStream(Attempt now, HttpResponse response) {
        SseReader reader = new SseReader(now.connection(), response.takeBodyStream(), now.attemptId());
        reader.next().whenComplete((first, e) -> {
            if (now.isFinished()) {
                return;
            }
            if (e != null) {
                onAttemptFailed(now, true, e);
                return;
            }
            CompletionStream body = new CompletionStream(this, now, reader, first);
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
        if (!thread.retryBudget().tryAcquire()) {
            fail(failure);
            return;
        }
        startAttempt();
    }

    private void onDeadline() {
        if (ended) {
            return;
        }
        PoplarWharfException failure = deadlineFailure();
        stream.ifPresent(open -> open.expire(failure));
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
        boolean untrue = mayHaveRun && failure.code().ran() == FailureCode.Ran.NO;
        responsePromise.trySetException(
                untrue ? CallerReporter.targetFailed(String.join(", ", excludedTargets), failure) : failure);
    }

    private static boolean isJsonObject(byte[] body) {
        try {
            return MAPPER.readTree(body).isObject();
        } catch (IOException | RuntimeException e) {
            return false;
        }
    }

    private static String jsonField(byte[] body, String name) {
        try {
            return MAPPER.readTree(body).path(name).asText();
        } catch (IOException | RuntimeException e) {
            return "";
        }
    }

    private record BufferedResponse(int status, String contentType, byte[] body) {}
}
