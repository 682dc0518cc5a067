package org.poplarwharf.internal.log;

import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.promise.SettablePromise;
import io.activej.reactor.Reactor;
import java.util.ArrayList;
import java.util.List;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.plugins.EventLog;
import org.poplarwharf.plugins.EventLog.Entry;
import org.poplarwharf.plugins.EventLog.Page;

/**
 * A stream that reads the log by long polling, applies the records to a {@link Fold} in log order, and appends records
 * in batches.
 *
 * <p>Invariants: the fold gets every record of the stream except duplicates, once and in order, or a checkpoint that
 * covers these records. After a gap, that is when the log has deleted records that were not read yet, no record is
 * applied until a checkpoint covers the missing ones. A commit succeeds only after its record was read back. Confined
 * to the control thread.
 *
 * @param <R> the record type
 */
public final class FoldingStream<R> implements RecordStream<R> {
    private final StreamContext context;
    private final EventLog log;
    private final Reactor reactor;
    private final MonotonicClock clock;
    private final StreamSettings settings;
    private final StreamMonitor monitor;
    private final RecordFolder<R> folder;
    private final BatchAppender appender;
    private final RetryBackoff backoff;
    private final List<Listener<R>> listeners = new ArrayList<>();
    private long lastResponseMillis;
    private long currentGeneration;
    private long scanOffset;
    private long firstRetainedOffset;
    private boolean isRecovering;
    private boolean supersededReported;
    private boolean hasCaughtUp;
    private boolean isStarted;
    private boolean isStopped;

    public FoldingStream(StreamContext context, Class<R> type, Fold<R> fold) {
        this.context = context;
        this.log = context.log();
        this.reactor = context.reactor();
        this.clock = context.clock();
        this.settings = context.settings();
        this.monitor = new StreamMonitor(context.stream(), context.metrics());
        this.folder = new RecordFolder<>(context.stream(), type, fold, monitor);
        this.appender = new BatchAppender(context, monitor, () -> !isRecovering, this::recordResponse);
        this.backoff = new RetryBackoff(settings.minBackoffMillis(), settings.maxBackoffMillis(), context.random());
        this.lastResponseMillis = clock.nowMillis();
    }

    /** Starts reading the stream. */
    public void start() {
        if (!isStarted) {
            isStarted = true;
            poll();
        }
    }

    /** Stops reading and fails the pending commits. */
    public void stop() {
        isStopped = true;
        appender.stop();
    }

    @Override
    public Promise<ApplyResult> commit(R record, long timeoutMillis) {
        return appender.commit(folder.encode(record), timeoutMillis);
    }

    /** Appends a checkpoint of the state as of the end of the log entry that is being applied. */
    public Promise<ApplyResult> commitCheckpoint(long timeoutMillis) {
        SettablePromise<ApplyResult> result = new SettablePromise<>();
        reactor.post(() -> appendCheckpoint(timeoutMillis).subscribe(result::set));
        return result;
    }

    private Promise<ApplyResult> appendCheckpoint(long timeoutMillis) {
        if (isRecovering || isStopped) {
            return Promise.ofException(Reporter.logUnavailable(context.stream(), settings.maxBackoffMillis(), null));
        }
        return commit(folder.createCheckpoint(), timeoutMillis);
    }

    /** Returns a checkpoint record of the current state. Must not be called by a listener from within its callback. */
    public R createCheckpoint() {
        return folder.createCheckpoint();
    }

    /**
     * Restores the state from the checkpoint of another reader of the stream if it is newer; returns whether it was.
     */
    public boolean restoreIfNewer(R checkpoint) {
        if (!folder.restoreIfNewer(checkpoint)) {
            return false;
        }
        resumeAfterRestore();
        if (isStarted) {
            poll();
        }
        return true;
    }

    @Override
    public long appliedOffset() {
        return folder.appliedOffset();
    }

    @Override
    public long millisSinceLastResponse() {
        return clock.nowMillis() - lastResponseMillis;
    }

    @Override
    public boolean isCaughtUp() {
        return hasCaughtUp;
    }

    @Override
    public void addListener(Listener<R> listener) {
        listeners.add(listener);
    }

    private void recordResponse() {
        lastResponseMillis = clock.nowMillis();
    }

    private void poll() {
        if (isStopped) {
            return;
        }
        currentGeneration++;
        long pollGeneration = currentGeneration;
        long fromOffset = isRecovering ? scanOffset : folder.nextLogOffset();
        long waitMillis = hasCaughtUp || isRecovering ? settings.longPollMillis() : 0;
        long readTimeoutMillis = waitMillis + settings.callTimeoutMillis();
        Promise<Page> read = log.read(context.stream(), fromOffset, settings.maxPageRecords(), waitMillis);
        Promises.timeout(reactor, readTimeoutMillis, read).subscribe((page, failure) -> {
            if (pollGeneration != currentGeneration || isStopped) {
                return;
            }
            if (failure != null) {
                handleReadFailure(failure);
                return;
            }
            handlePage(fromOffset, page);
        });
    }

    private void handleReadFailure(Exception failure) {
        monitor.failedReads.inc();
        if (!backoff.hasFailures()) {
            monitor.warn(StreamEvent.STREAM_UNREADABLE, failure);
        }
        pollAfter(backoff.nextDelayMillis());
    }

    private void handlePage(long fromOffset, Page page) {
        recordResponse();
        if (page.nextOffset() < fromOffset) {
            handleOffsetRegression();
            return;
        }
        if (backoff.hasFailures()) {
            monitor.info(StreamEvent.STREAM_READABLE);
        }
        backoff.reset();
        if (page.firstOffset() > fromOffset) {
            startRecovery(page.firstOffset());
        } else if (isRecovering) {
            restoreFromPage(page);
        } else {
            applyPage(page);
        }
        pollAfter(page.entries().isEmpty() ? settings.emptyPageDelayMillis() : 0);
    }

    private void handleOffsetRegression() {
        hasCaughtUp = false;
        if (!backoff.hasFailures()) {
            monitor.warn(StreamEvent.STREAM_WENT_BACK, null);
        }
        pollAfter(backoff.nextDelayMillis());
    }

    private void pollAfter(long delayMillis) {
        long pollGeneration = currentGeneration;
        Runnable next = () -> {
            if (pollGeneration == currentGeneration) {
                poll();
            }
        };
        if (delayMillis <= 0) {
            reactor.post(next);
        } else {
            reactor.delayBackground(delayMillis, next);
        }
    }

    private void startRecovery(long firstOffset) {
        if (!isRecovering) {
            monitor.gaps.inc();
            monitor.warn(
                    StreamEvent.STREAM_GAP, Reporter.logGap(context.stream(), folder.nextLogOffset(), firstOffset));
        }
        isRecovering = true;
        hasCaughtUp = false;
        firstRetainedOffset = firstOffset;
        scanOffset = firstOffset;
    }

    private void restoreFromPage(Page page) {
        for (Entry entry : page.entries()) {
            if (folder.restoreFirstCheckpoint(entry, firstRetainedOffset)) {
                resumeAfterRestore();
                return;
            }
            scanOffset = entry.offset() + 1;
        }
    }

    private void resumeAfterRestore() {
        if (isRecovering) {
            monitor.info(StreamEvent.STREAM_GAP_CLOSED);
        }
        isRecovering = false;
        appender.checkpointRestoredThrough(
                folder.writerSequences().nextSequence(context.writerId(), context.incarnation()));
        appender.scheduleSend(0);
    }

    private void applyPage(Page page) {
        for (Entry entry : page.entries()) {
            folder.foldEntry(entry, this::handleApplied);
            updateAppender();
        }
        if (!hasCaughtUp && folder.nextLogOffset() >= page.nextOffset()) {
            hasCaughtUp = true;
            monitor.info(StreamEvent.STREAM_CAUGHT_UP);
        }
    }

    private void handleApplied(RecordBatch batch, int index, R record, ApplyResult result) {
        for (Listener<R> listener : List.copyOf(listeners)) {
            notifyListener(listener, record, result);
        }
        boolean isOwnRecord =
                batch.writerId().equals(context.writerId()) && batch.incarnation() == context.incarnation();
        if (isOwnRecord) {
            appender.completeReadBack(batch.firstSequence() + index, result);
        }
    }

    private void notifyListener(Listener<R> listener, R record, ApplyResult result) {
        try {
            listener.onApplied(record, result);
        } catch (RuntimeException e) {
            monitor.warn(StreamEvent.STREAM_LISTENER_FAILED, e);
        }
    }

    private void updateAppender() {
        appender.advanceReadThrough(folder.writerSequences().nextSequence(context.writerId(), context.incarnation()));
        if (folder.writerSequences().isSuperseded(context.writerId(), context.incarnation()) && !supersededReported) {
            supersededReported = true;
            monitor.warn(
                    StreamEvent.STREAM_WRITER_SUPERSEDED,
                    Reporter.logWriterSuperseded(context.stream(), context.writerId()));
            appender.stopSuperseded();
        }
    }
}
