package org.poplarwharf.internal.entry;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.AbstractChannelSupplier;
import io.activej.promise.Promise;
import java.util.Optional;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.admission.GrantCompletion.Outcome;
import org.poplarwharf.internal.failure.CallerReporter;

/**
 * The body of a streamed completion as the caller reads it: one event for each read, so that a slow caller holds back
 * the engine.
 *
 * <p>Invariants: the body ends whole only behind {@code [DONE]}; in any other case an error event goes out and the body
 * is aborted. Tokens are given on once and in order, also across a resumption. Belongs to one traffic thread.
 */
final class CompletionStream extends AbstractChannelSupplier<ByteBuf> {
    private final Exchange exchange;
    private Attempt attempt;
    private SseReader reader;
    private Optional<SseReader.Event> first;
    private int nextToken;
    private boolean indexed = true;
    private boolean whole;
    private boolean resuming;
    private boolean errorSent;
    private long lastMillis;
    private Optional<PoplarWharfException> failure = Optional.empty();

    CompletionStream(Exchange exchange, Attempt attempt, SseReader reader, SseReader.Event first) {
        this.exchange = exchange;
        this.attempt = attempt;
        this.reader = reader;
        this.first = Optional.of(first);
        this.lastMillis = exchange.thread().nowMillis();
        CallerRequest request = exchange.request();
        exchange.thread()
                .measure(m -> m.recordTimeToFirstToken(
                        request.tenant(), request.requestClass().name(), lastMillis - request.arrivedMillis()));
    }

    /** Ends the stream with a failure; called at the deadline. */
    void expire(PoplarWharfException late) {
        if (!whole) {
            failure = Optional.of(late);
        }
    }

    @Override
    protected Promise<ByteBuf> doGet() {
        if (whole) {
            return Promise.of(null);
        }
        if (failure.isPresent()) {
            return errorThenAbort();
        }
        Promise<SseReader.Event> event = first.isPresent() ? Promise.of(first.get()) : reader.next();
        first = Optional.empty();
        return event.then((value, e) -> e == null ? take(value) : broken());
    }

    @Override
    protected void onClosed(Exception e) {
        exchange.end(Outcome.CALLER_LEFT);
    }

    private Promise<ByteBuf> take(SseReader.Event event) {
        attempt.firstByte();
        if (event.done()) {
            return finish(event);
        }
        if (event.tokenIndex().isEmpty()) {
            indexed = indexed && nextToken > 0;
            return resuming && !event.finish() ? doGet() : Promise.of(ByteBuf.wrapForReading(event.raw()));
        }
        int index = event.tokenIndex().getAsInt();
        if (index > nextToken) {
            return broken();
        }
        if (index < nextToken) {
            return doGet();
        }
        nextToken++;
        resuming = false;
        measureGap();
        return Promise.of(ByteBuf.wrapForReading(event.raw()));
    }

    private Promise<ByteBuf> finish(SseReader.Event event) {
        whole = true;
        exchange.thread().answeredWhole(exchange.request());
        Attempt done = attempt;
        reader.drained().whenResult(clean -> {
            if (clean) {
                done.answered();
            }
            exchange.end(Outcome.ANSWERED);
        });
        return Promise.of(ByteBuf.wrapForReading(event.raw()));
    }

    private Promise<ByteBuf> broken() {
        if (failure.isPresent()) {
            return errorThenAbort();
        }
        Attempt lost = attempt;
        lost.end(lost.lost());
        if (!indexed || nextToken == 0) {
            return interrupted(lost);
        }
        return exchange.resume(nextToken, lost).then((next, e) -> {
            if (e != null) {
                exchange.attempt().ifPresent(now -> now.end(now.lost()));
                return interrupted(lost);
            }
            attempt = exchange.attempt().orElseThrow();
            reader = next;
            resuming = true;
            return doGet();
        });
    }

    private Promise<ByteBuf> interrupted(Attempt lost) {
        if (failure.isEmpty()) {
            failure = Optional.of(CallerReporter.streamInterrupted(lost.target()));
        }
        return errorThenAbort();
    }

    private Promise<ByteBuf> errorThenAbort() {
        if (!errorSent) {
            errorSent = true;
            exchange.thread()
                    .refused(failure.orElseThrow().code(), exchange.request().requestId());
            return Promise.of(ByteBuf.wrapForReading(Answers.errorEvent(failure.orElseThrow())));
        }
        exchange.end(Outcome.CALLER_LEFT);
        return Promise.ofException(failure.orElseThrow());
    }

    private void measureGap() {
        long nowMillis = exchange.thread().nowMillis();
        long gapMillis = nowMillis - lastMillis;
        lastMillis = nowMillis;
        CallerRequest request = exchange.request();
        exchange.thread()
                .measure(m -> m.recordInterTokenLatency(
                        request.tenant(), request.requestClass().name(), gapMillis));
    }
}
