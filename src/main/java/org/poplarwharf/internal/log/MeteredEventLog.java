package org.poplarwharf.internal.log;

import io.activej.promise.Promise;
import org.poplarwharf.internal.kernel.NodeMetrics;
import org.poplarwharf.plugins.EventLog;

/**
 * A log client that counts the payload bytes that it sends and receives. Protocol overhead isn't counted.
 *
 * <p>Confined to the control thread.
 */
final class MeteredEventLog implements EventLog {
    private final EventLog log;
    private final NodeMetrics metrics;

    MeteredEventLog(EventLog log, NodeMetrics metrics) {
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
        return log.read(stream, fromOffset, maxRecords, waitMillis).whenResult(this::countReceivedBytes);
    }

    private void countReceivedBytes(Page page) {
        long bytes = page.entries().stream()
                .mapToLong(entry -> entry.payload().length)
                .sum();
        metrics.addControlBytesReceived(bytes);
    }
}
