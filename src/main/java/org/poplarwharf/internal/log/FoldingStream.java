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
 * A stream that is followed by long polling, folded in log order and written in batches.
 *
 * <p>Invariants: the fold sees every record of the stream that is not a repeat, once and in order, or a checkpoint that
 * stands for them; where the log has dropped records that were not read, nothing is applied until a checkpoint covers
 * them. A commit completes only when its record was read back. Belongs to the control thread.
 *
 * @param <R> the record type
 */
public final class FoldingStream<R> implements RecordStream<R> {
    private final StreamContext parts;
    private final EventLog log;
    private final Reactor reactor;
    private final MonotonicClock clock;
    private final StreamSettings settings;
    private final StreamMonitor monitor;
    private final RecordFolder<R> folder;
    private final BatchAppender appender;
    private final RetryBackoff backoff;
    private final List<Listener<R>> listeners = new ArrayList<>();
    private long answeredMillis;
    private long generation;
    private long scanOffset;
    private long firstHeldOffset;
    private boolean recovering;
    private boolean superseded;
    private boolean caughtUp;
    private boolean started;
    private boolean stopped;

    public FoldingStream(StreamContext parts, Class<R> type, Fold<R> fold) {
        this.parts = parts;
        this.log = parts.log();
        this.reactor = parts.reactor();
        this.clock = parts.clock();
        this.settings = parts.settings();
        this.monitor = new StreamMonitor(parts.stream(), parts.metrics());
        this.folder = new RecordFolder<>(parts.stream(), type, fold, monitor);
        this.appender = new BatchAppender(parts, monitor, () -> !recovering, this::markAnswered);
        this.backoff = new RetryBackoff(settings.minBackoffMillis(), settings.maxBackoffMillis(), parts.random());
        this.answeredMillis = clock.nowMillis();
    }

    /** Begins to follow the stream. */
    public void start() {
        if (!started) {
            started = true;
            poll();
        }
    }

    /** Ends following and fails what waits. */
    public void stop() {
        stopped = true;
        appender.stop();
    }

    @Override
    public Promise<ApplyResult> commit(R record, long timeoutMillis) {
        return appender.commit(folder.encode(record), timeoutMillis);
    }

    /** Appends a checkpoint of the state as it is once the entry that is being taken is done. */
    public Promise<ApplyResult> commitCheckpoint(long timeoutMillis) {
        SettablePromise<ApplyResult> result = new SettablePromise<>();
        reactor.post(() -> checkpointNow(timeoutMillis).subscribe(result::set));
        return result;
    }

    private Promise<ApplyResult> checkpointNow(long timeoutMillis) {
        if (recovering || stopped) {
            return Promise.ofException(Reporter.logUnavailable(parts.stream(), settings.maxBackoffMillis(), null));
        }
        return commit(folder.createCheckpoint(), timeoutMillis);
    }

    /** Returns a record that holds the state; not to be called by a listener while it hears of a record. */
    public R createCheckpoint() {
        return folder.createCheckpoint();
    }

    /** Takes a state that another reader of the same stream has folded further; returns whether it was ahead. */
    public boolean restoreIfNewer(R checkpoint) {
        if (!folder.restoreIfNewer(checkpoint)) {
            return false;
        }
        restored();
        if (started) {
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
        return clock.nowMillis() - answeredMillis;
    }

    @Override
    public boolean isCaughtUp() {
        return caughtUp;
    }

    @Override
    public void addListener(Listener<R> listener) {
        listeners.add(listener);
    }

    private void markAnswered() {
        answeredMillis = clock.nowMillis();
    }

    private void poll() {
        if (stopped) {
            return;
        }
        generation++;
        long asked = generation;
        long fromOffset = recovering ? scanOffset : folder.nextLogOffset();
        long waitMillis = caughtUp || recovering ? settings.longPollMillis() : 0;
        long limitMillis = waitMillis + settings.callTimeoutMillis();
        Promise<Page> read = log.read(parts.stream(), fromOffset, settings.maxPageRecords(), waitMillis);
        Promises.timeout(reactor, limitMillis, read).subscribe((page, failure) -> {
            if (asked != generation || stopped) {
                return;
            }
            if (failure != null) {
                readFailed(failure);
                return;
            }
            readSucceeded(fromOffset, page);
        });
    }

    private void readFailed(Exception failure) {
        monitor.failedReads.inc();
        if (!backoff.hasFailures()) {
            monitor.warn(StreamEvent.STREAM_UNREADABLE, failure);
        }
        pollAfter(backoff.nextDelayMillis());
    }

    private void readSucceeded(long fromOffset, Page page) {
        markAnswered();
        if (page.nextOffset() < fromOffset) {
            wentBack();
            return;
        }
        if (backoff.hasFailures()) {
            monitor.info(StreamEvent.STREAM_READABLE);
        }
        backoff.reset();
        if (page.firstOffset() > fromOffset) {
            beginRecovery(page.firstOffset());
        } else if (recovering) {
            searchCheckpoint(page);
        } else {
            takeAll(page);
        }
        pollAfter(page.entries().isEmpty() ? settings.emptyPageDelayMillis() : 0);
    }

    private void wentBack() {
        caughtUp = false;
        if (!backoff.hasFailures()) {
            monitor.warn(StreamEvent.STREAM_WENT_BACK, null);
        }
        pollAfter(backoff.nextDelayMillis());
    }

    private void pollAfter(long millis) {
        long asked = generation;
        Runnable next = () -> {
            if (asked == generation) {
                poll();
            }
        };
        if (millis <= 0) {
            reactor.post(next);
        } else {
            reactor.delayBackground(millis, next);
        }
    }

    private void beginRecovery(long firstOffset) {
        if (!recovering) {
            monitor.gaps.inc();
            monitor.warn(StreamEvent.STREAM_GAP, Reporter.logGap(parts.stream(), folder.nextLogOffset(), firstOffset));
        }
        recovering = true;
        caughtUp = false;
        firstHeldOffset = firstOffset;
        scanOffset = firstOffset;
    }

    private void searchCheckpoint(Page page) {
        for (Entry entry : page.entries()) {
            if (folder.restoreFirstCheckpoint(entry, firstHeldOffset)) {
                restored();
                return;
            }
            scanOffset = entry.offset() + 1;
        }
    }

    private void restored() {
        if (recovering) {
            monitor.info(StreamEvent.STREAM_GAP_CLOSED);
        }
        recovering = false;
        appender.checkpointRestoredThrough(folder.writers().nextSequence(parts.writerId(), parts.incarnation()));
        appender.scheduleSend(0);
    }

    private void takeAll(Page page) {
        for (Entry entry : page.entries()) {
            folder.foldEntry(entry, this::applied);
            settleOwn();
        }
        if (!caughtUp && folder.nextLogOffset() >= page.nextOffset()) {
            caughtUp = true;
            monitor.info(StreamEvent.STREAM_CAUGHT_UP);
        }
    }

    private void applied(RecordBatch batch, int index, R record, ApplyResult applied) {
        for (Listener<R> listener : List.copyOf(listeners)) {
            tell(listener, record, applied);
        }
        boolean own = batch.writerId().equals(parts.writerId()) && batch.incarnation() == parts.incarnation();
        if (own) {
            appender.completeReadBack(batch.firstSequence() + index, applied);
        }
    }

    private void tell(Listener<R> listener, R record, ApplyResult applied) {
        try {
            listener.onApplied(record, applied);
        } catch (RuntimeException e) {
            monitor.warn(StreamEvent.STREAM_LISTENER_FAILED, e);
        }
    }

    private void settleOwn() {
        appender.advanceReadThrough(folder.writers().nextSequence(parts.writerId(), parts.incarnation()));
        if (folder.writers().isSuperseded(parts.writerId(), parts.incarnation()) && !superseded) {
            superseded = true;
            monitor.warn(
                    StreamEvent.STREAM_WRITER_SUPERSEDED,
                    Reporter.logWriterSuperseded(parts.stream(), parts.writerId()));
            appender.stopSuperseded();
        }
    }
}
