package org.poplarwharf.internal.log;

import io.activej.promise.Promise;

/**
 * A stream of the platform's log that this node reads and appends to.
 *
 * <p>Called on the control thread only. All offsets are record offsets, see {@link RecordBatch#recordOffset}.
 *
 * @param <R> the record type
 */
public interface RecordStream<R> {
    /**
     * Appends a record and waits until it has been read back and applied to the fold. Records of one stream keep their
     * order. Queued records are appended together.
     *
     * @return the fold's result; fails with {@code log-unavailable} if the record will never be appended, and with
     *     {@code log-outcome-unknown} if {@code timeoutMillis} elapsed first and the record may still be appended
     */
    Promise<ApplyResult> commit(R record, long timeoutMillis);

    /** Returns the offset of the last record applied to the fold; -1 if none was. */
    long appliedOffset();

    /** Returns the milliseconds since the log's last successful response to a read or an append of this stream. */
    long millisSinceLastResponse();

    /** Returns whether the fold has reached the end of the stream since the start or the last gap. */
    boolean isCaughtUp();

    /** Adds a listener that is called after each record applied to the fold, with the fold's result. */
    void addListener(Listener<R> listener);

    /** The fold's result for a record; {@code reason} states why a record was not accepted. */
    record ApplyResult(long offset, boolean accepted, String reason) {}

    /** Receives records in log order. */
    interface Listener<R> {
        void onApplied(R record, ApplyResult result);
    }
}
