package org.poplarwharf.internal.log;

import java.util.OptionalLong;

/**
 * Periodically appends a checkpoint to a stream, long before the records after the last checkpoint leave the log's
 * retention.
 *
 * <p>Invariant: while the checkpointer is active and the log is reachable, the log contains a checkpoint younger than
 * half of the retention. A checkpoint of any writer resets the due time, which has a random jitter of a fifth of the
 * retention, so that several active nodes don't all write one. Confined to the control thread.
 *
 * @param <R> the record type
 */
public final class Checkpointer<R> {
    private static final long RETENTION_INTERVAL_COUNT = 5;
    private static final long CHECKS_PER_INTERVAL_COUNT = 10;
    private static final long MIN_CHECK_INTERVAL_MILLIS = 10;

    private final StreamContext context;
    private final FoldingStream<R> stream;
    private final long intervalMillis;
    private final long checkIntervalMillis;
    private long activation;
    private long dueMillis;
    private long recordsSinceCheckpoint;
    private boolean active;
    private boolean appendInFlight;

    public Checkpointer(StreamContext context, FoldingStream<R> stream, Fold<R> fold) {
        this.context = context;
        this.stream = stream;
        this.intervalMillis = Math.max(1, context.settings().retentionMillis() / RETENTION_INTERVAL_COUNT);
        this.checkIntervalMillis = Math.max(MIN_CHECK_INTERVAL_MILLIS, intervalMillis / CHECKS_PER_INTERVAL_COUNT);
        stream.addListener((record, result) -> onRecordApplied(fold.checkpointOffset(record)));
    }

    /** Starts writing checkpoints; the first one is due within a fifth of the retention. */
    public void activate() {
        if (active) {
            return;
        }
        active = true;
        activation++;
        dueMillis = context.clock().nowMillis() + context.random().nextLong(intervalMillis);
        appendIfDue(activation);
    }

    /** Stops writing checkpoints. */
    public void deactivate() {
        active = false;
    }

    private void onRecordApplied(OptionalLong checkpointOffset) {
        if (checkpointOffset.isEmpty()) {
            recordsSinceCheckpoint++;
            return;
        }
        if (stream.isCaughtUp()) {
            recordsSinceCheckpoint = 0;
            dueMillis = context.clock().nowMillis()
                    + intervalMillis
                    + context.random().nextLong(intervalMillis);
        }
    }

    private void appendIfDue(long checkedActivation) {
        if (!active || checkedActivation != activation) {
            return;
        }
        boolean due = context.clock().nowMillis() >= dueMillis
                || recordsSinceCheckpoint >= context.settings().checkpointIntervalRecords();
        if (due && !appendInFlight && stream.isCaughtUp() && stream.appliedOffset() >= 0) {
            append();
        }
        context.reactor().delayBackground(checkIntervalMillis, () -> appendIfDue(checkedActivation));
    }

    private void append() {
        appendInFlight = true;
        stream.commitCheckpoint(context.settings().callTimeoutMillis())
                .subscribe((result, failure) -> appendInFlight = false);
    }
}
