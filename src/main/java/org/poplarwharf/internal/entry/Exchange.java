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
import org.poplarwharf.internal.target.BoundedBodyReader;

/**
 * The path of one repeatable request: a place, an attempt, further attempts within the retry budget, one final answer.
 *
 * <p>Invariants: the caller gets one final answer, at its deadline at the latest; a failure says "not run" only when no
 * attempt may have reached a target; nothing is retried after bytes went to the caller, except a stream that is resumed.
 * Belongs to one traffic thread.
 */
final class Exchange {
    private static final int STATUS_OK = 200;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_TOO_MANY = 429;
    private static final int STATUS_SERVER_ERROR = 500;
    private static final String NOT_LOADED = "not-loaded";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final TrafficThread thread;
    private final CallerRequest request;
    private final SettablePromise<HttpResponse> answer = new SettablePromise<>();
    private final List<String> excludedTargets = new ArrayList<>();
    private ScheduledRunnable deadline;
    private Optional<Attempt> attempt = Optional.empty();
    private Optional<CompletionStream> stream = Optional.empty();
    private String wishId = "";
    private boolean mayHaveRun;
    private boolean waitedForLoad;
    private boolean ended;

    Exchange(TrafficThread thread, CallerRequest request) {
        this.thread = thread;
        this.request = request;
    }

    /** Runs the request; the promise fails with the failure that the caller is to be told. */
    Promise<HttpResponse> run() {
        thread.retries().requestArrived();
        long leftMillis = Math.max(1, request.deadlineMillis() - thread.nowMillis());
        deadline = thread.loop().delayBackground(leftMillis, this::deadlinePassed);
        askPlace();
        return answer;
    }

    CallerRequest request() {
        return request;
    }

    TrafficThread thread() {
        return thread;
    }

    /** Ends the exchange: nothing more is tried, and the present attempt is given up unless it has ended. */
    void end(Outcome outcome) {
        if (ended) {
            return;
        }
        ended = true;
        deadline.cancel();
        thread.withdraw(wishId);
        attempt.ifPresent(present -> present.end(outcome));
    }

    /** Opens another stream for the tokens behind those that the caller has; fails when none can go on. */
    Promise<SseReader> resume(int afterTokens, Attempt broken) {
        excludedTargets.add(broken.target());
        if (ended || !thread.retries().tryTake()) {
            return Promise.ofException(CallerReporter.streamInterrupted(broken.target()));
        }
        return place().then(place -> {
            Attempt next = begin(place);
            return next.send(afterTokens).then(response -> reader(next, response));
        });
    }

    Optional<Attempt> attempt() {
        return attempt;
    }

    private Promise<SseReader> reader(Attempt next, HttpResponse response) {
        if (response.getCode() != STATUS_OK) {
            next.end(Outcome.TARGET_ERROR);
            return Promise.ofException(CallerReporter.streamInterrupted(next.target()));
        }
        return Promise.of(new SseReader(next.connection(), response.takeBodyStream(), next.sentId()));
    }

    private void askPlace() {
        place().whenComplete((place, e) -> {
            if (e != null) {
                fail(Answers.failure(e));
                return;
            }
            dispatch(begin(place));
        });
    }

    private Promise<Place> place() {
        wishId = thread.ids().next();
        AdmitRequest admission = new AdmitRequest(
                wishId,
                request.artifact(),
                request.requestClass().name(),
                request.tenant(),
                thread.zone(),
                Math.max(0, request.deadlineMillis() - thread.nowMillis()),
                request.fingerprint(),
                request.prefixHash(),
                List.copyOf(excludedTargets));
        long askedMillis = thread.nowMillis();
        return thread.ask(new PlaceRequest(
                        admission,
                        request.deadlineMillis(),
                        request.requestClass().priority()))
                .then(place -> {
                    if (ended) {
                        thread.giveBack(place, Outcome.NOT_SENT, 0, -1);
                        return Promise.ofException(deadlineFailure());
                    }
                    thread.measure(m -> m.waited(
                            request.tenant(), request.requestClass().name(), thread.nowMillis() - askedMillis));
                    return Promise.of(place);
                });
    }

    private Attempt begin(Place place) {
        waitedForLoad |= place.grant().coldStart();
        Attempt begun = new Attempt(thread, request, place);
        attempt = Optional.of(begun);
        return begun;
    }

    private void dispatch(Attempt now) {
        boolean before = mayHaveRun;
        mayHaveRun = true;
        now.send(0).whenComplete((response, e) -> {
            if (now.finished()) {
                return;
            }
            if (e != null) {
                lost(now, before, e);
                return;
            }
            now.firstByte();
            answered(now, before, response);
        });
    }

    private void lost(Attempt now, boolean before, Exception e) {
        Outcome outcome = now.lost();
        now.end(outcome);
        if (outcome == Outcome.CONNECT_FAILED) {
            mayHaveRun = before;
            retry(now, CallerReporter.targetUnreachable(now.target(), e));
            return;
        }
        retry(now, CallerReporter.targetFailed(now.target(), e));
    }

    private void answered(Attempt now, boolean before, HttpResponse response) {
        if (RequestIds.anothers(response.getHeader(RequestHead.REQUEST_ID), now.sentId())) {
            now.end(Outcome.TARGET_ERROR);
            retry(now, CallerReporter.targetFailed(now.target(), null));
            return;
        }
        if (request.stream() && response.getCode() == STATUS_OK) {
            beginStream(now, response);
            return;
        }
        String contentType = Optional.ofNullable(response.getHeader(HttpHeaders.CONTENT_TYPE))
                .orElse("");
        BoundedBodyReader.read(
                        response.takeBodyStream(),
                        thread.maxBodyBytes(),
                        now::read,
                        () -> CallerReporter.targetFailed(now.target(), null))
                .whenComplete((body, e) -> {
                    if (now.finished()) {
                        return;
                    }
                    if (e != null) {
                        lost(now, before, e);
                        return;
                    }
                    judge(now, before, new WholeAnswer(response.getCode(), contentType, body));
                });
    }

    private void judge(Attempt now, boolean before, WholeAnswer whole) {
        if (!request.completion()) {
            complete(now, whole);
            return;
        }
        if (whole.status() == STATUS_NOT_FOUND && NOT_LOADED.equals(field(whole.body(), "code"))) {
            now.end(Outcome.NOT_LOADED);
            mayHaveRun = before;
            retry(now, CallerReporter.targetRefused(now.target()));
            return;
        }
        boolean crossed = RequestIds.anothers(field(whole.body(), "id"), now.sentId());
        boolean broken = whole.status() == STATUS_OK && !isObject(whole.body());
        if (crossed || broken || whole.status() >= STATUS_SERVER_ERROR || whole.status() == STATUS_TOO_MANY) {
            now.end(Outcome.TARGET_ERROR);
            retry(now, CallerReporter.targetFailed(now.target(), null));
            return;
        }
        complete(now, whole);
    }

    private void complete(Attempt now, WholeAnswer whole) {
        now.answered();
        end(Outcome.ANSWERED);
        Answers.Origin origin = new Answers.Origin(request.requestId(), waitedForLoad, thread.draining());
        answer.trySet(Answers.whole(whole.status(), whole.contentType(), whole.body(), origin));
    }

    private void beginStream(Attempt now, HttpResponse response) {
        SseReader reader = new SseReader(now.connection(), response.takeBodyStream(), now.sentId());
        reader.next().whenComplete((first, e) -> {
            if (now.finished()) {
                return;
            }
            if (e != null) {
                lost(now, true, e);
                return;
            }
            CompletionStream body = new CompletionStream(this, now, reader, first);
            stream = Optional.of(body);
            answer.trySet(Answers.begin(STATUS_OK, request.requestId(), thread.draining())
                    .withHeader(HttpHeaders.CONTENT_TYPE, "text/event-stream")
                    .withHeader(Answers.COLD_START, Boolean.toString(waitedForLoad))
                    .withBodyStream(body)
                    .build());
        });
    }

    private void retry(Attempt failed, PoplarWharfException failure) {
        excludedTargets.add(failed.target());
        if (ended) {
            return;
        }
        if (!thread.retries().tryTake()) {
            fail(failure);
            return;
        }
        askPlace();
    }

    private void deadlinePassed() {
        if (ended) {
            return;
        }
        PoplarWharfException failure = deadlineFailure();
        stream.ifPresent(open -> open.expire(failure));
        end(Outcome.CALLER_LEFT);
        answer.trySetException(failure);
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
        answer.trySetException(
                untrue ? CallerReporter.targetFailed(String.join(", ", excludedTargets), failure) : failure);
    }

    private static boolean isObject(byte[] body) {
        try {
            return MAPPER.readTree(body).isObject();
        } catch (IOException | RuntimeException e) {
            return false;
        }
    }

    private static String field(byte[] body, String name) {
        try {
            return MAPPER.readTree(body).path(name).asText();
        } catch (IOException | RuntimeException e) {
            return "";
        }
    }

    private record WholeAnswer(int status, String contentType, byte[] body) {}
}
