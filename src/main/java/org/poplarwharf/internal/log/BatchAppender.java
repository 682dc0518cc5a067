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
 * <p>Invariants: sequence numbers increase by one in the order of the {@link #commit} calls. A batch that may be in the
 * log is appended again unchanged or abandoned entirely; readers drop an abandoned batch if it reaches the log after
 * a later batch. A record is reported as never appended only when no attempt to append it can have taken effect.
 * Confined to the control thread.
 */
final class BatchAppender {
    private static final MessagePackCodec<RecordBatch> BATCH_CODEC = new MessagePackCodec<>(RecordBatch.class);
    private static final int MAX_QUEUED_RECORD_COUNT = 20_000;
    private static final int MAX_BATCH_BYTES = 512 * 1024;

    private final String stream;
    private final String writerId;
    private final long incarnation;
    private final EventLog log;
    private final Reactor reactor;
    private final MonotonicClock clock;
    private final StreamSettings settings;
    private final AppendRateLimiter appendRateLimiter;
    private final RetryBackoff backoff;
    private final StreamMonitor monitor;
    private final BooleanSupplier isAppendAllowed;
    private final Runnable onResponse;

    private final Deque<PendingRecord> queue = new ArrayDeque<>();
    private final Map<Long, PendingRecord> awaitingReadBack = new HashMap<>();
    private AppendAttempt currentAttempt;
    private long nextSequence;
    private long nextSendMillis;
    private boolean sendScheduled;
    private boolean stopped;

    /** A record that is queued or in flight. It gets its sequence number when it is put into a batch. */
    private static final class PendingRecord {
        private final byte[] record;
        private final SettablePromise<ApplyResult> result = new SettablePromise<>();
        private ScheduledRunnable timeout;

        private PendingRecord(byte[] record) {
            this.record = record;
        }
    }

    /** An append of one batch, including its retries. */
    private static final class AppendAttempt {
        private final RecordBatch batch;
        private final byte[] payload;
        private final List<PendingRecord> pendingRecords;
        private boolean mayBeInLog;

        private AppendAttempt(RecordBatch batch, List<PendingRecord> pendingRecords) {
            this.batch = batch;
            this.payload = BATCH_CODEC.encode(batch);
            this.pendingRecords = pendingRecords;
        }

        private boolean isCompleted() {
            return pendingRecords.stream().allMatch(p -> p.result.isComplete());
        }
    }

    BatchAppender(StreamContext context, StreamMonitor monitor, BooleanSupplier isAppendAllowed, Runnable onResponse) {
        this.stream = context.stream();
        this.writerId = context.writerId();
        this.incarnation = context.incarnation();
        this.log = context.log();
        this.reactor = context.reactor();
        this.clock = context.clock();
        this.nextSendMillis = clock.nowMillis();
        this.settings = context.settings();
        this.appendRateLimiter = context.appendRateLimiter();
        this.backoff = new RetryBackoff(settings.minBackoffMillis(), settings.maxBackoffMillis(), context.random());
        this.monitor = monitor;
        this.isAppendAllowed = isAppendAllowed;
        this.onResponse = onResponse;
    }

    Promise<ApplyResult> commit(byte[] record, long timeoutMillis) {
        if (stopped || queue.size() >= MAX_QUEUED_RECORD_COUNT) {
            return Promise.ofException(logUnavailable(null));
        }
        PendingRecord pending = new PendingRecord(record);
        pending.timeout = reactor.delayBackground(timeoutMillis, () -> expire(pending));
        queue.add(pending);
        scheduleSend(0);
        return pending.result;
    }

    /** Completes the commit of a record of this writer that was read back, with the fold's result. */
    void completeReadBack(long sequence, ApplyResult result) {
        PendingRecord pending = awaitingReadBack.remove(sequence);
        if (pending != null && pending.result.trySet(result)) {
            pending.timeout.cancel();
        }
    }

    /**
     * Completes the current attempt if its batch starts below a sequence number. Every record of this writer below that
     * number has been read or skipped, so the batch needs no further append even if the response to it was lost.
     */
    void advanceReadThrough(long sequence) {
        if (currentAttempt != null && currentAttempt.batch.firstSequence() < sequence) {
            completeCurrentAttempt();
        }
    }

    /**
     * Fails the commits below a sequence number with an unknown outcome. A restored checkpoint contains the effect of
     * these records but not their individual results.
     */
    void checkpointRestoredThrough(long sequence) {
        List<Long> coveredSequences =
                awaitingReadBack.keySet().stream().filter(s -> s < sequence).toList();
        coveredSequences.forEach(s -> fail(awaitingReadBack.remove(s), Reporter.logOutcomeUnknown(stream, null)));
        advanceReadThrough(sequence);
    }

    /** Fails all commits and stops, because a later incarnation of this writer makes readers drop further records. */
    void stopSuperseded() {
        PoplarWharfException failure = Reporter.logWriterSuperseded(stream, writerId);
        stopped = true;
        currentAttempt = null;
        queue.forEach(p -> fail(p, failure));
        queue.clear();
        awaitingReadBack.values().forEach(p -> fail(p, Reporter.logOutcomeUnknown(stream, failure)));
        awaitingReadBack.clear();
    }

    void stop() {
        stopped = true;
        queue.forEach(p -> fail(p, logUnavailable(null)));
        queue.clear();
        awaitingReadBack.values().forEach(p -> fail(p, Reporter.logOutcomeUnknown(stream, null)));
        awaitingReadBack.clear();
    }

    /** Schedules an append of the queued records after a delay; zero schedules it immediately. */
    void scheduleSend(long delayMillis) {
        if (sendScheduled || stopped) {
            return;
        }
        sendScheduled = true;
        Runnable send = () -> {
            sendScheduled = false;
            send();
        };
        if (delayMillis <= 0) {
            reactor.post(send);
        } else {
            reactor.delayBackground(delayMillis, send);
        }
    }

    private void send() {
        if (stopped || currentAttempt != null || queue.isEmpty() || !isAppendAllowed.getAsBoolean()) {
            return;
        }
        long delayMillis = nextSendMillis - clock.nowMillis();
        long sendDelayMillis = delayMillis > 0 ? delayMillis : appendRateLimiter.acquireOrWaitMillis();
        if (sendDelayMillis > 0) {
            scheduleSend(sendDelayMillis);
            return;
        }
        currentAttempt = createAttempt();
        append(currentAttempt);
    }

    private AppendAttempt createAttempt() {
        List<PendingRecord> batchRecords = new ArrayList<>();
        int batchBytes = 0;
        while (!queue.isEmpty() && batchRecords.size() < RecordBatch.MAX_RECORD_COUNT) {
            batchBytes += queue.peek().record.length;
            if (!batchRecords.isEmpty() && batchBytes > MAX_BATCH_BYTES) {
                break;
            }
            batchRecords.add(queue.poll());
        }
        long firstSequence = nextSequence;
        for (PendingRecord pending : batchRecords) {
            awaitingReadBack.put(nextSequence, pending);
            nextSequence++;
        }
        List<byte[]> records = batchRecords.stream().map(p -> p.record).toList();
        return new AppendAttempt(new RecordBatch(writerId, incarnation, firstSequence, records), batchRecords);
    }

    private void append(AppendAttempt attempt) {
        monitor.appends.inc();
        Promises.timeout(reactor, settings.callTimeoutMillis(), log.append(stream, attempt.payload))
                .subscribe((offset, failure) -> handleAppendResult(attempt, failure));
    }

    private void handleAppendResult(AppendAttempt attempt, Exception failure) {
        if (failure == null) {
            onResponse.run();
        }
        if (attempt != currentAttempt || stopped) {
            return;
        }
        if (failure == null) {
            completeCurrentAttempt();
            return;
        }
        monitor.failedAppends.inc();
        switch (classify(failure)) {
            case NOT_APPENDED -> {
                if (!attempt.mayBeInLog) {
                    requeueRecords(attempt);
                }
                retryLater(attempt);
            }
            case UNKNOWN -> {
                attempt.mayBeInLog = true;
                retryLater(attempt);
            }
            case REJECTED -> reject(attempt, failure);
        }
    }

    private void retryLater(AppendAttempt attempt) {
        long delayMillis = backoff.nextDelayMillis();
        if (currentAttempt == null) {
            nextSendMillis = clock.nowMillis() + delayMillis;
            scheduleSend(delayMillis);
            return;
        }
        reactor.delayBackground(delayMillis, () -> retry(attempt));
    }

    private void retry(AppendAttempt attempt) {
        if (attempt != currentAttempt || stopped) {
            return;
        }
        if (attempt.isCompleted()) {
            completeCurrentAttempt();
            return;
        }
        long sendDelayMillis = appendRateLimiter.acquireOrWaitMillis();
        if (sendDelayMillis > 0) {
            reactor.delayBackground(sendDelayMillis, () -> retry(attempt));
            return;
        }
        append(attempt);
    }

    /** Moves the records of a batch that is certainly not in the log back to the head of the queue. */
    private void requeueRecords(AppendAttempt attempt) {
        currentAttempt = null;
        nextSequence = attempt.batch.firstSequence();
        for (int i = attempt.pendingRecords.size() - 1; i >= 0; i--) {
            PendingRecord pending = attempt.pendingRecords.get(i);
            awaitingReadBack.remove(nextSequence + i);
            if (!pending.result.isComplete()) {
                queue.addFirst(pending);
            }
        }
    }

    private void reject(AppendAttempt attempt, Exception failure) {
        monitor.warn(StreamEvent.STREAM_APPEND_REJECTED, failure);
        Exception reportedFailure = attempt.mayBeInLog ? Reporter.logOutcomeUnknown(stream, failure) : failure;
        for (int i = 0; i < attempt.pendingRecords.size(); i++) {
            awaitingReadBack.remove(attempt.batch.firstSequence() + i);
            fail(attempt.pendingRecords.get(i), reportedFailure);
        }
        completeCurrentAttempt();
    }

    private void completeCurrentAttempt() {
        currentAttempt = null;
        backoff.reset();
        scheduleSend(0);
    }

    private void expire(PendingRecord pending) {
        if (queue.remove(pending)) {
            fail(pending, logUnavailable(null));
            return;
        }
        awaitingReadBack.values().remove(pending);
        fail(pending, Reporter.logOutcomeUnknown(stream, null));
    }

    private static void fail(PendingRecord pending, Exception failure) {
        if (pending.result.trySetException(failure)) {
            pending.timeout.cancel();
        }
    }

    private PoplarWharfException logUnavailable(Throwable cause) {
        return Reporter.logUnavailable(stream, settings.maxBackoffMillis(), cause);
    }

    private enum FailureKind {
        NOT_APPENDED,
        UNKNOWN,
        REJECTED
    }

    private static FailureKind classify(Exception failure) {
        if (!(failure instanceof PoplarWharfException failureWithCode)) {
            return FailureKind.UNKNOWN;
        }
        if (failureWithCode.code() == FailureCode.LOG_UNAVAILABLE) {
            return FailureKind.NOT_APPENDED;
        }
        return failureWithCode.code().ran() == FailureCode.Ran.NO ? FailureKind.REJECTED : FailureKind.UNKNOWN;
    }
}
