package org.poplarwharf.plugins;

import io.activej.promise.Promise;
import java.util.List;

/**
 * A client of the platform's append-only log service.
 *
 * <p>An instance is confined to one reactor thread. The service need not support conditional appends.
 */
public interface EventLog {
    /**
     * Appends one record.
     *
     * @return the record's offset; fails with {@code log-unavailable} if the record was certainly not appended, and with
     *     {@code log-outcome-unknown} if it may have been
     */
    Promise<Long> append(String stream, byte[] payload);

    /**
     * Reads records, starting at an offset. Waits up to {@code waitMillis} for the first one.
     *
     * @return a page, empty if no record arrived in time; a {@code firstOffset} above {@code fromOffset} means that records
     *     in between are no longer in the log
     */
    Promise<Page> read(String stream, long fromOffset, int maxRecords, long waitMillis);

    /** Creates log clients for a reactor. The extension point that log protocols register under. */
    interface Factory {
        EventLog create(io.activej.reactor.nio.NioReactor reactor, String address);
    }

    /** A record with its offset. */
    record Entry(long offset, byte[] payload) {}

    /**
     * Consecutive records of a stream.
     *
     * @param firstOffset the oldest offset in the log; equal to {@code nextOffset} if the log is empty
     * @param nextOffset the offset that the next appended record will get
     * @param entries the records with their offsets, without gaps
     */
    record Page(long firstOffset, long nextOffset, List<Entry> entries) {}
}
