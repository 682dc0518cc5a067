package org.poplarwharf.internal.entry;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.AbstractChannelSupplier;
import io.activej.promise.Promise;
import java.util.Optional;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.admission.GrantCompletion.Outcome;
import org.poplarwharf.internal.failure.CallerReporter;

/**
 * The response body of a streamed completion. Each read of the caller's connection returns one event, so that a slow
 * caller applies backpressure to the engine.
 *
 * <p>Invariants: the body ends normally only after {@code [DONE]}; otherwise an error event is sent and the body is
 * aborted. Each token is forwarded once and in order, also when the stream is resumed at another target. Confined to one
 * traffic thread.
 */
final class CompletionStream extends AbstractChannelSupplier<ByteBuf> {
    private final RetryingExchange exchange;
    private Attempt attempt;
    private SseReader reader;
    private Optional<SseReader.Event> firstEvent;
    private int nextTokenIndex;
    private boolean allTokensIndexed = true;
    private boolean completed;
    private boolean resuming;
    private boolean errorSent;
    private long lastTokenMillis;
    private Optional<PoplarWharfException> failure = Optional.empty();

    CompletionStream(RetryingExchange exchange, Attempt attempt, SseReader reader, SseReader.Event first) {
        this.exchange = exchange;
        this.attempt = attempt;
        this.reader = reader;
        this.firstEvent = Optional.of(first);
        this.lastTokenMillis = exchange.thread().nowMillis();
        CallerRequest request = exchange.request();
        exchange.thread()
                .updateMetrics(m -> m.recordTimeToFirstToken(
                        request.tenant(), request.requestClass().name(), lastTokenMillis - request.arrivedMillis()));
    }

    /** Ends the stream with a failure. Called at the deadline, or when the node stops. */
    void expire(PoplarWharfException reason) {
        if (!completed) {
            failure = Optional.of(reason);
        }
    }

    /** Returns whether another target could continue the stream after the events that the caller has. */
    boolean isResumable() {
        return allTokensIndexed && nextTokenIndex > 0;
    }

    @Override
    protected Promise<ByteBuf> doGet() {
        if (completed) {
            return Promise.of(null);
        }
        if (failure.isPresent()) {
            return sendErrorThenAbort();
        }
        Promise<SseReader.Event> event = firstEvent.isPresent() ? Promise.of(firstEvent.get()) : reader.next();
        firstEvent = Optional.empty();
        return event.then((value, e) -> e == null ? handleEvent(value) : handleFailure());
    }

    @Override
    protected void onClosed(Exception e) {
        exchange.end(Outcome.CALLER_LEFT);
    }

    private Promise<ByteBuf> handleEvent(SseReader.Event event) {
        attempt.recordFirstByte();
        if (event.isDone()) {
            return complete(event);
        }
        if (event.tokenIndex().isEmpty()) {
            allTokensIndexed = allTokensIndexed && nextTokenIndex > 0;
            return resuming && !event.hasFinishReason() ? doGet() : Promise.of(ByteBuf.wrapForReading(event.raw()));
        }
        int index = event.tokenIndex().getAsInt();
        if (index > nextTokenIndex) {
            return handleFailure();
        }
        if (index < nextTokenIndex) {
            return doGet();
        }
        nextTokenIndex++;
        resuming = false;
        recordTokenGap();
        return Promise.of(ByteBuf.wrapForReading(event.raw()));
    }

    private Promise<ByteBuf> complete(SseReader.Event event) {
        completed = true;
        exchange.thread().recordCompletion(exchange.request());
        Attempt finishedAttempt = attempt;
        reader.readToEnd().whenResult(reusable -> {
            if (reusable) {
                finishedAttempt.complete();
            }
            exchange.end(Outcome.ANSWERED);
        });
        return Promise.of(ByteBuf.wrapForReading(event.raw()));
    }

    private Promise<ByteBuf> handleFailure() {
        if (failure.isPresent()) {
            return sendErrorThenAbort();
        }
        Attempt failedAttempt = attempt;
        failedAttempt.abort(failedAttempt.failureOutcome());
        if (!isResumable()) {
            return failInterrupted(failedAttempt);
        }
        return exchange.resume(nextTokenIndex, failedAttempt).then((nextReader, e) -> {
            attempt = exchange.attempt().orElseThrow();
            if (e != null) {
                return attempt == failedAttempt ? failInterrupted(failedAttempt) : handleFailure();
            }
            reader = nextReader;
            resuming = true;
            return doGet();
        });
    }

    private Promise<ByteBuf> failInterrupted(Attempt failedAttempt) {
        if (failure.isEmpty()) {
            failure = Optional.of(CallerReporter.streamInterrupted(failedAttempt.target()));
        }
        return sendErrorThenAbort();
    }

    private Promise<ByteBuf> sendErrorThenAbort() {
        if (!errorSent) {
            errorSent = true;
            exchange.thread()
                    .recordFailure(
                            failure.orElseThrow().code(), exchange.request().requestId());
            return Promise.of(ByteBuf.wrapForReading(CallerResponses.errorEvent(failure.orElseThrow())));
        }
        exchange.end(Outcome.CALLER_LEFT);
        return Promise.ofException(failure.orElseThrow());
    }

    private void recordTokenGap() {
        long nowMillis = exchange.thread().nowMillis();
        long gapMillis = nowMillis - lastTokenMillis;
        lastTokenMillis = nowMillis;
        CallerRequest request = exchange.request();
        exchange.thread()
                .updateMetrics(m -> m.recordInterTokenLatency(
                        request.tenant(), request.requestClass().name(), gapMillis));
    }
}
