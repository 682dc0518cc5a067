package org.poplarwharf.internal.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/**
 * Counts the bytes of control traffic on the peer connections of a node. Calls and their responses are excluded because
 * they carry the bodies of callers.
 *
 * <p>Thread-safe.
 */
final class PeerTrafficMeter {
    private final Counter sentBytes;
    private final Counter receivedBytes;
    private final Counter controlSentBytes;
    private final Counter controlReceivedBytes;

    PeerTrafficMeter(MetricRegistry metrics) {
        sentBytes = metrics.counter("peer_bytes.sent");
        receivedBytes = metrics.counter("peer_bytes.received");
        controlSentBytes = metrics.counter("control_bytes.sent");
        controlReceivedBytes = metrics.counter("control_bytes.received");
    }

    void sent(PeerMessage message, int frameBytes) {
        if (isControl(message)) {
            sentBytes.inc(frameBytes);
            controlSentBytes.inc(frameBytes);
        }
    }

    void received(PeerMessage message, int frameBytes) {
        if (isControl(message)) {
            receivedBytes.inc(frameBytes);
            controlReceivedBytes.inc(frameBytes);
        }
    }

    private static boolean isControl(PeerMessage message) {
        return !(message instanceof PeerMessage.Call) && !(message instanceof PeerMessage.CallResponse);
    }
}
