package org.poplarwharf.plugins;

import io.activej.promise.Promise;
import java.util.List;

/**
 * The port to the platform's append-only log service.
 *
 * <p>An instance belongs to one reactor thread and is called only from it. No conditional append is assumed.
 */
public interface EventLog {
    /**
     * Appends one record.
     *
     * @return the record's offset; fails with {@code log-unavailable} when the record was surely not appended, and with
     *     {@code log-outcome-unknown} when it may have been
     */
    Promise<Long> append(String stream, byte[] payload);

    /**
     * Reads records from an offset on, waiting for the first one up to {@code waitMillis}.
     *
     * @return a page, empty when nothing arrived in time; its {@code firstOffset} tells of a gap
     */
    Promise<Page> read(String stream, long fromOffset, int maxRecords, long waitMillis);

    /** Makes logs for a reactor. The extension point under which a log protocol registers. */
    interface Factory {
        EventLog create(io.activej.reactor.nio.NioReactor reactor, String address);
    }

    /** One record with its offset. */
    record Entry(long offset, byte[] payload) {}

    /**
     * Records of a stream.
     *
     * @param firstOffset the oldest offset that the log still holds (equal to {@code nextOffset} when it holds none)
     * @param nextOffset the offset that the next appended record will get
     * @param entries consecutive entries
     */
    record Page(long firstOffset, long nextOffset, List<Entry> entries) {}
}
