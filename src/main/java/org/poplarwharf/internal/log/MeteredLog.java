package org.poplarwharf.internal.log;

import io.activej.promise.Promise;
import org.poplarwharf.internal.kernel.NodeMetrics;
import org.poplarwharf.plugins.EventLog;

/**
 * A log client that counts the bytes of the records which it sends and receives; what its protocol adds to them isn't
 * counted.
 *
 * <p>Belongs to the control thread.
 */
final class MeteredLog implements EventLog {
    private final EventLog log;
    private final NodeMetrics metrics;

    MeteredLog(EventLog log, NodeMetrics metrics) {
        this.log = log;
        this.metrics = metrics;
    }

    @Override
    public Promise<Long> append(String stream, byte[] payload) {
        metrics.addControlBytesSent(payload.length);
        return log.append(stream, payload);
    }

    @Override
    public Promise<Page> read(String stream, long fromOffset, int maxRecords, long waitMillis) {
        return log.read(stream, fromOffset, maxRecords, waitMillis).whenResult(this::received);
    }

    private void received(Page page) {
        long bytes = page.entries().stream()
                .mapToLong(entry -> entry.payload().length)
                .sum();
        metrics.addControlBytesReceived(bytes);
    }
}
