package org.poplarwharf.internal.log;

import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.promise.SettablePromise;
import io.activej.reactor.Reactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.poplarwharf.FailureCode;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.codec.MessagePackCodec;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.log.RecordStream.ApplyResult;
import org.poplarwharf.plugins.EventLog;

/**
 * Appends records in batches, one batch at a time.
 *
 * <p>Invariants: sequences grow by one in the order of the calls; a batch that may stand in the log is appended again
 * unchanged or given up whole, and what is given up is dropped by readers if it still arrives after a later batch; a
 * record is reported as never appended only when no attempt to append it can have taken effect. Belongs to the control
 * thread.
 */
final class BatchAppender {
    private static final MessagePackCodec<RecordBatch> BATCHES = new MessagePackCodec<>(RecordBatch.class);
    private static final int MAX_QUEUED = 20_000;
    private static final int MAX_BATCH_BYTES = 512 * 1024;

    private final String stream;
    private final String writerId;
    private final long incarnation;
    private final EventLog log;
    private final Reactor reactor;
    private final MonotonicClock clock;
    private final StreamSettings settings;
    private final AppendRateLimiter budget;
    private final RetryBackoff backoff;
    private final StreamMonitor monitor;
    private final BooleanSupplier mayAppend;
    private final Runnable onAnswer;

    private final Deque<Waiting> queue = new ArrayDeque<>();
    private final Map<Long, Waiting> awaitingReadBack = new HashMap<>();
    private Attempt current;
    private long nextSequence;
    private long resumeMillis;
    private boolean sendScheduled;
    private boolean stopped;

    /** A record on its way; its sequence is given when it goes into a batch. */
    private static final class Waiting {
        private final byte[] record;
        private final SettablePromise<ApplyResult> result = new SettablePromise<>();
        private ScheduledRunnable timer;

        private Waiting(byte[] record) {
            this.record = record;
        }
    }

    /** The batch that is being appended. */
    private static final class Attempt {
        private final RecordBatch batch;
        private final byte[] payload;
        private final List<Waiting> waiting;
        private boolean mayStandInLog;

        private Attempt(RecordBatch batch, List<Waiting> waiting) {
            this.batch = batch;
            this.payload = BATCHES.encode(batch);
            this.waiting = waiting;
        }

        private boolean expired() {
            return waiting.stream().allMatch(w -> w.result.isComplete());
        }
    }

    BatchAppender(StreamContext parts, StreamMonitor monitor, BooleanSupplier mayAppend, Runnable onAnswer) {
        this.stream = parts.stream();
        this.writerId = parts.writerId();
        this.incarnation = parts.incarnation();
        this.log = parts.log();
        this.reactor = parts.reactor();
        this.clock = parts.clock();
        this.resumeMillis = clock.nowMillis();
        this.settings = parts.settings();
        this.budget = parts.appendRateLimiter();
        this.backoff = new RetryBackoff(settings.minBackoffMillis(), settings.maxBackoffMillis(), parts.random());
        this.monitor = monitor;
        this.mayAppend = mayAppend;
        this.onAnswer = onAnswer;
    }

    Promise<ApplyResult> commit(byte[] record, long timeoutMillis) {
        if (stopped || queue.size() >= MAX_QUEUED) {
            return Promise.ofException(unavailable(null));
        }
        Waiting waiting = new Waiting(record);
        waiting.timer = reactor.delayBackground(timeoutMillis, () -> expire(waiting));
        queue.add(waiting);
        scheduleSend(0);
        return waiting.result;
    }

    /** Takes the verdict on a record of this writer that was read back. */
    void completeReadBack(long sequence, ApplyResult applied) {
        Waiting waiting = awaitingReadBack.remove(sequence);
        if (waiting != null && waiting.result.trySet(applied)) {
            waiting.timer.cancel();
        }
    }

    /** Tells that every record of this writer below a sequence was read or skipped, whatever became of the answers. */
    void advanceReadThrough(long sequence) {
        if (current != null && current.batch.firstSequence() < sequence) {
            finishCurrent();
        }
    }

    /** Tells that records below a sequence are inside a checkpoint, so that their verdicts are lost. */
    void checkpointRestoredThrough(long sequence) {
        List<Long> lost =
                awaitingReadBack.keySet().stream().filter(s -> s < sequence).toList();
        lost.forEach(s -> fail(awaitingReadBack.remove(s), Reporter.logOutcomeUnknown(stream, null)));
        advanceReadThrough(sequence);
    }

    /** Tells that a later incarnation of this writer writes, so that no record of this one takes effect any more. */
    void stopSuperseded() {
        PoplarWharfException failure = Reporter.logWriterSuperseded(stream, writerId);
        stopped = true;
        current = null;
        queue.forEach(w -> fail(w, failure));
        queue.clear();
        awaitingReadBack.values().forEach(w -> fail(w, Reporter.logOutcomeUnknown(stream, failure)));
        awaitingReadBack.clear();
    }

    void stop() {
        stopped = true;
        queue.forEach(w -> fail(w, unavailable(null)));
        queue.clear();
        awaitingReadBack.values().forEach(w -> fail(w, Reporter.logOutcomeUnknown(stream, null)));
        awaitingReadBack.clear();
    }

    /** Sends what waits, if it may. */
    void scheduleSend(long afterMillis) {
        if (sendScheduled || stopped) {
            return;
        }
        sendScheduled = true;
        Runnable send = () -> {
            sendScheduled = false;
            send();
        };
        if (afterMillis <= 0) {
            reactor.post(send);
        } else {
            reactor.delayBackground(afterMillis, send);
        }
    }

    private void send() {
        if (stopped || current != null || queue.isEmpty() || !mayAppend.getAsBoolean()) {
            return;
        }
        long pauseMillis = resumeMillis - clock.nowMillis();
        long waitMillis = pauseMillis > 0 ? pauseMillis : budget.acquireOrWaitMillis();
        if (waitMillis > 0) {
            scheduleSend(waitMillis);
            return;
        }
        current = nextAttempt();
        append(current);
    }

    private Attempt nextAttempt() {
        List<Waiting> taken = new ArrayList<>();
        int bytes = 0;
        while (!queue.isEmpty() && taken.size() < RecordBatch.MAX_RECORD_COUNT) {
            bytes += queue.peek().record.length;
            if (!taken.isEmpty() && bytes > MAX_BATCH_BYTES) {
                break;
            }
            taken.add(queue.poll());
        }
        long firstSequence = nextSequence;
        for (Waiting waiting : taken) {
            awaitingReadBack.put(nextSequence, waiting);
            nextSequence++;
        }
        List<byte[]> records = taken.stream().map(w -> w.record).toList();
        return new Attempt(new RecordBatch(writerId, incarnation, firstSequence, records), taken);
    }

    private void append(Attempt attempt) {
        monitor.appends.inc();
        Promises.timeout(reactor, settings.callTimeoutMillis(), log.append(stream, attempt.payload))
                .subscribe((offset, failure) -> answered(attempt, failure));
    }

    private void answered(Attempt attempt, Exception failure) {
        if (failure == null) {
            onAnswer.run();
        }
        if (attempt != current || stopped) {
            return;
        }
        if (failure == null) {
            finishCurrent();
            return;
        }
        monitor.failedAppends.inc();
        switch (kindOf(failure)) {
            case NOT_APPENDED -> {
                if (!attempt.mayStandInLog) {
                    takeApart(attempt);
                }
                retryLater(attempt);
            }
            case UNKNOWN -> {
                attempt.mayStandInLog = true;
                retryLater(attempt);
            }
            case REJECTED -> reject(attempt, failure);
        }
    }

    private void retryLater(Attempt attempt) {
        long pauseMillis = backoff.nextDelayMillis();
        if (current == null) {
            resumeMillis = clock.nowMillis() + pauseMillis;
            scheduleSend(pauseMillis);
            return;
        }
        reactor.delayBackground(pauseMillis, () -> retry(attempt));
    }

    private void retry(Attempt attempt) {
        if (attempt != current || stopped) {
            return;
        }
        if (attempt.expired()) {
            finishCurrent();
            return;
        }
        long waitMillis = budget.acquireOrWaitMillis();
        if (waitMillis > 0) {
            reactor.delayBackground(waitMillis, () -> retry(attempt));
            return;
        }
        append(attempt);
    }

    /** Puts the records of a batch that surely does not stand in the log back to the head of the queue. */
    private void takeApart(Attempt attempt) {
        current = null;
        nextSequence = attempt.batch.firstSequence();
        for (int i = attempt.waiting.size() - 1; i >= 0; i--) {
            Waiting waiting = attempt.waiting.get(i);
            awaitingReadBack.remove(nextSequence + i);
            if (!waiting.result.isComplete()) {
                queue.addFirst(waiting);
            }
        }
    }

    private void reject(Attempt attempt, Exception failure) {
        monitor.warn(StreamEvent.STREAM_APPEND_REJECTED, failure);
        Exception reason = attempt.mayStandInLog ? Reporter.logOutcomeUnknown(stream, failure) : failure;
        for (int i = 0; i < attempt.waiting.size(); i++) {
            awaitingReadBack.remove(attempt.batch.firstSequence() + i);
            fail(attempt.waiting.get(i), reason);
        }
        finishCurrent();
    }

    private void finishCurrent() {
        current = null;
        backoff.reset();
        scheduleSend(0);
    }

    private void expire(Waiting waiting) {
        if (queue.remove(waiting)) {
            fail(waiting, unavailable(null));
            return;
        }
        awaitingReadBack.values().remove(waiting);
        fail(waiting, Reporter.logOutcomeUnknown(stream, null));
    }

    private static void fail(Waiting waiting, Exception failure) {
        if (waiting.result.trySetException(failure)) {
            waiting.timer.cancel();
        }
    }

    private PoplarWharfException unavailable(Throwable cause) {
        return Reporter.logUnavailable(stream, settings.maxBackoffMillis(), cause);
    }

    private enum FailureKind {
        NOT_APPENDED,
        UNKNOWN,
        REJECTED
    }

    private static FailureKind kindOf(Exception failure) {
        if (!(failure instanceof PoplarWharfException known)) {
            return FailureKind.UNKNOWN;
        }
        if (known.code() == FailureCode.LOG_UNAVAILABLE) {
            return FailureKind.NOT_APPENDED;
        }
        return known.code().ran() == FailureCode.Ran.NO ? FailureKind.REJECTED : FailureKind.UNKNOWN;
    }
}
