package org.poplarwharf.internal.log;

import io.activej.promise.Promise;

/**
 * One stream of the platform's log as this node follows and writes it.
 *
 * <p>Called from the control thread only. Offsets are record offsets, see {@link RecordBatch#recordOffset}.
 *
 * @param <R> the record type
 */
public interface RecordStream<R> {
    /**
     * Appends a record and waits until the fold has read it back. Records of one stream keep their order; several that
     * are waiting go out as one append.
     *
     * @return what the fold decided; fails with {@code log-unavailable} when the record will never be appended, and with
     *     {@code log-outcome-unknown} when {@code timeoutMillis} passed first and it may still appear
     */
    Promise<ApplyResult> commit(R record, long timeoutMillis);

    /** Returns the offset of the last record that the fold has taken; -1 for none. */
    long appliedOffset();

    /** Returns how long ago the log last answered a read or an append of this stream, in milliseconds. */
    long millisSinceLastResponse();

    /** Tells whether the fold has read to the stream's end at least once since the start. */
    boolean isCaughtUp();

    /** Calls the listener after each record that the fold has taken, with what it decided. */
    void addListener(Listener<R> listener);

    /** What the fold decided on a record. */
    record ApplyResult(long offset, boolean accepted, String reason) {}

    /** Hears of records in log order. */
    interface Listener<R> {
        void onApplied(R record, ApplyResult applied);
    }
}
