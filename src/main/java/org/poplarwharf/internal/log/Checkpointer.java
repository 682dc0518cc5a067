package org.poplarwharf.internal.log;

import java.util.OptionalLong;

/**
 * Appends a checkpoint to a stream well before the records behind the last one age out.
 *
 * <p>Invariant: while it is active and the log can be reached, the log holds a checkpoint younger than half of the
 * retention. A checkpoint of any writer counts, so that several active nodes don't all write one; the moment is drawn
 * at random from a share of the retention. Belongs to the control thread.
 *
 * @param <R> the record type
 */
public final class Checkpointer<R> {
    private static final long DUE_DIVISOR = 5;
    private static final long CHECKS_PER_SHARE = 10;
    private static final long MIN_CHECK_MILLIS = 10;

    private final StreamContext parts;
    private final FoldingStream<R> stream;
    private final long shareMillis;
    private final long checkMillis;
    private long activation;
    private long dueMillis;
    private long recordsSince;
    private boolean active;
    private boolean appending;

    public Checkpointer(StreamContext parts, FoldingStream<R> stream, Fold<R> fold) {
        this.parts = parts;
        this.stream = stream;
        this.shareMillis = Math.max(1, parts.settings().retentionMillis() / DUE_DIVISOR);
        this.checkMillis = Math.max(MIN_CHECK_MILLIS, shareMillis / CHECKS_PER_SHARE);
        stream.addListener((record, applied) -> heard(fold.checkpointOffset(record)));
    }

    /** Begins to write checkpoints; the first one is due within a share of the retention. */
    public void activate() {
        if (active) {
            return;
        }
        active = true;
        activation++;
        dueMillis = parts.clock().nowMillis() + parts.random().nextLong(shareMillis);
        check(activation);
    }

    /** Ends writing checkpoints. */
    public void deactivate() {
        active = false;
    }

    private void heard(OptionalLong checkpoint) {
        if (checkpoint.isEmpty()) {
            recordsSince++;
            return;
        }
        if (stream.isCaughtUp()) {
            recordsSince = 0;
            dueMillis = parts.clock().nowMillis() + shareMillis + parts.random().nextLong(shareMillis);
        }
    }

    private void check(long ofActivation) {
        if (!active || ofActivation != activation) {
            return;
        }
        boolean due = parts.clock().nowMillis() >= dueMillis
                || recordsSince >= parts.settings().checkpointIntervalRecords();
        if (due && !appending && stream.isCaughtUp() && stream.appliedOffset() >= 0) {
            append();
        }
        parts.reactor().delayBackground(checkMillis, () -> check(ofActivation));
    }

    private void append() {
        appending = true;
        stream.commitCheckpoint(parts.settings().callTimeoutMillis())
                .subscribe((applied, failure) -> appending = false);
    }
}
